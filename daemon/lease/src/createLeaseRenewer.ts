import { type Address, type RenewRequest, type RenewResult } from '@briarpick/types'
import { elapsedMs } from '@briarpick/clock'
import { findLeader } from '@briarpick/control-finder'
import { type Service } from '@briarpick/kernel'
import { createLogger } from '@briarpick/logs'
import { type Metrics } from '@briarpick/metrics'
import { createRpcClients } from '@briarpick/rpc'

/** What control granted. */
export type LeaseGrant = Extract<RenewResult, { readonly kind: 'granted' }>

/** Options of a lease keeper. */
export interface LeaseRenewerOptions {
  /** Control nodes known now; read anew at each renewal. */
  readonly control: () => readonly Address[]
  readonly metrics: Metrics
  readonly request: () => RenewRequest
  /** Takes over what came with a grant; called before the lease is longer. */
  readonly onGranted: (grant: LeaseGrant, request: RenewRequest) => void
}

/** Holds the proxy's lease by renewing it. */
export interface LeaseRenewer extends Service {
  /** True while the lease holds, counted from when the renewal was sent. */
  isValid: () => boolean
  /** Renews at once. */
  renewNow: () => void
  /** Resolves after the next renewal that starts from now on. */
  waitForRenewal: () => Promise<void>
}

/** A fifth of the usual lease, so that a lease outlives the loss of a leader and its election. */
const RENEW_MS = 200
const RENEW_TIMEOUT_MS = 250
/** Time to the next renewal after a failure, in ms. */
const RETRY_MS = 20
/** Longest search for the leader, in ms: an election. */
const FIND_TIMEOUT_MS = 500
const log = createLogger('proxy:lease')

/** Starts renewing. */
export function createLeaseRenewer (opts: LeaseRenewerOptions): LeaseRenewer {
  const clients = createRpcClients({ handlers: { 'proxy.poke': () => renewNow() } })
  let current: Address | undefined
  /** The leader that failed last; nodes that still follow it are behind. */
  let failed: Address | undefined
  let failures = 0
  let validUntil = -Infinity
  let timer: NodeJS.Timeout | undefined
  let renewing = false
  let again = false
  let closed = false
  let waiters: Array<() => void> = []

  /** All nodes are asked at once: at a start, some of them may not be there yet. */
  async function searchLeader (): Promise<Address | undefined> {
    const found = await findLeader({ nodes: opts.control(), failed, timeoutMs: FIND_TIMEOUT_MS })
    return found?.leader
  }

  async function renewOnce (): Promise<boolean> {
    current ??= await searchLeader()
    if (current === undefined) throw new Error('no control node names a leader')
    const client = clients.of(current)
    const request = opts.request()
    const sentAt = elapsedMs()
    const result = await client.request<RenewResult>('control.renew', request, { timeoutMs: RENEW_TIMEOUT_MS })
    if (result.kind === 'notLeader') {
      opts.metrics.count('retries', 'not_leader')
      failed = current
      current = result.leader ?? undefined
      return false
    }
    failed = undefined
    opts.onGranted(result, request)
    validUntil = Math.max(validUntil, sentAt + result.leaseMs)
    if (result.more) again = true
    return true
  }

  async function renew (): Promise<void> {
    if (renewing || closed) {
      again = true
      return
    }
    renewing = true
    again = false
    clearTimeout(timer)
    const served = waiters
    waiters = []
    let granted = false
    try {
      granted = await renewOnce()
    } catch (err) {
      opts.metrics.count('retries', 'renewal_failed')
      failures += 1
      if (failures === 1) log('renewalFailed', { control: current?.host, reason: err instanceof Error ? err.message : String(err) })
      failed = current ?? failed
      current = undefined
    }
    renewing = false
    if (granted && failures > 0) log('renewed', { failures, control: current?.host })
    if (granted) failures = 0
    if (granted) for (const waiter of served) waiter()
    else waiters.push(...served)
    schedule(granted)
  }

  function schedule (granted: boolean): void {
    if (closed) return
    const pause = !granted ? RETRY_MS : again ? 0 : RENEW_MS
    timer = setTimeout(start, pause)
  }

  function start (): void {
    renew().catch((err) => log('renewalBroken', { reason: String(err) }))
  }

  function renewNow (): void {
    start()
  }

  start()

  return {
    isValid: () => elapsedMs() < validUntil,
    renewNow,
    waitForRenewal () {
      return new Promise((resolve) => {
        waiters.push(resolve)
        renewNow()
      })
    },
    async close () {
      closed = true
      clearTimeout(timer)
      clients.close()
    },
  }
}
