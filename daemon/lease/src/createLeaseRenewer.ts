import { type Address, formatAddress, type RenewRequest, type RenewResult } from '@briarpick/types'
import { holderMs } from '@briarpick/clock'
import { findLeader } from '@briarpick/control-finder'
import { type Service } from '@briarpick/kernel'
import { createLogger } from '@briarpick/logs'
import { type Metrics } from '@briarpick/metrics'
import { createRpcClients } from '@briarpick/rpc'
import { awaitAnswer } from './awaitAnswer.js'

/** A granted renewal. */
export type LeaseGrant = Extract<RenewResult, { readonly kind: 'granted' }>

/** Options of a lease renewer. */
export interface LeaseRenewerOptions {
  /** Returns the known control nodes; called for each leader search. */
  readonly control: () => readonly Address[]
  readonly metrics: Metrics
  /** Creates the request of the next renewal. */
  readonly request: () => RenewRequest
  /** Applies the contents of a grant; called before the lease is extended. */
  readonly onGranted: (grant: LeaseGrant, request: RenewRequest) => void
}

/** Renews a proxy's lease periodically. */
export interface LeaseRenewer extends Service {
  /** True until the lease expires; its duration counts from when the renewal was sent. */
  isValid: () => boolean
  /** Time at which the lease expires or has expired, in ms on the elapsed clock; -Infinity before the first grant. */
  validUntil: () => number
  /** Renews at once, or right after the renewal in progress. */
  renewNow: () => void
  /** Renews at once; resolves after the first successful renewal that starts after the call. */
  waitForRenewal: () => Promise<void>
}

/** Renewal interval, in ms; a fifth of the usual lease, so that a lease survives the loss of a leader and the election after it. */
const RENEW_INTERVAL_MS = 200
/** Time after which an answer is given up, in ms: about a lease, so that a later grant would have ended. */
const RENEW_TIMEOUT_MS = 1000
/** Delay of the next attempt after a failed renewal, in ms. */
const RETRY_DELAY_MS = 20
/** Timeout of a leader search, in ms; covers an election. */
const SEARCH_TIMEOUT_MS = 500
const log = createLogger('proxy:lease')

/** Creates a lease renewer and starts the first renewal. */
export function createLeaseRenewer (opts: LeaseRenewerOptions): LeaseRenewer {
  const clients = createRpcClients({ handlers: { 'proxy.poke': () => renewNow() } })
  let current: Address | undefined
  /** Leader that failed last; a node that still names it has stale information. */
  let failed: Address | undefined
  let failures = 0
  let validUntil = -Infinity
  let timer: NodeJS.Timeout | undefined
  let renewing = false
  let renewAgain = false
  let closed = false
  let waiters: Array<() => void> = []

  /** Queries all nodes in parallel, since some may not be up yet when the system starts. */
  async function findCurrentLeader (): Promise<Address | undefined> {
    const found = await findLeader({ nodes: opts.control(), failed, timeoutMs: SEARCH_TIMEOUT_MS })
    return found?.leader
  }

  async function renewOnce (): Promise<boolean> {
    current ??= await findCurrentLeader()
    if (current === undefined) throw new Error('no control node reported a leader')
    const leader = current
    const request = opts.request()
    const sentAt = holderMs()
    const answer = clients.get(leader).request<RenewResult>('control.renew', request, { timeoutMs: RENEW_TIMEOUT_MS })
    const findSuccessor = async (signal: AbortSignal) =>
      await findLeader({ nodes: opts.control(), failed: leader, timeoutMs: SEARCH_TIMEOUT_MS, signal })
    const outcome = await awaitAnswer({ answer, leader, findSuccessor })
    if (outcome.kind === 'answered') return applyAnswer(outcome.answer, request, { leader, sentAt })
    opts.metrics.count('retries', 'leader_silent')
    failed = leader
    current = outcome.leader
    // The answer of the silent leader is a grant as well, if it comes.
    answer.then((late) => applyAnswer(late, request, { leader, sentAt })).catch(() => opts.metrics.count('retries', 'renewal_failed'))
    return false
  }

  /** Uses a leader's answer to a renewal; returns true for a grant. */
  function applyAnswer (
    result: RenewResult,
    request: RenewRequest,
    { leader, sentAt }: { readonly leader: Address, readonly sentAt: number }
  ): boolean {
    if (result.kind === 'notLeader') {
      opts.metrics.count('retries', 'not_leader')
      if (!isCurrent(leader)) return false
      failed = leader
      current = result.leader ?? undefined
      return false
    }
    if (closed) return false
    if (isCurrent(leader)) failed = undefined
    opts.onGranted(result, request)
    validUntil = Math.max(validUntil, sentAt + result.leaseMs)
    if (result.more) renewAgain = true
    return true
  }

  function isCurrent (leader: Address): boolean {
    return current !== undefined && formatAddress(current) === formatAddress(leader)
  }

  async function renew (): Promise<void> {
    if (renewing || closed) {
      renewAgain = true
      return
    }
    renewing = true
    renewAgain = false
    clearTimeout(timer)
    const currentWaiters = waiters
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
    if (granted && failures > 0) log('renewalRecovered', { failures, control: current?.host })
    if (granted) failures = 0
    if (granted) for (const waiter of currentWaiters) waiter()
    else waiters.push(...currentWaiters)
    schedule(granted)
  }

  function schedule (granted: boolean): void {
    if (closed) return
    const delayMs = !granted ? RETRY_DELAY_MS : renewAgain ? 0 : RENEW_INTERVAL_MS
    timer = setTimeout(startRenewal, delayMs)
  }

  function startRenewal (): void {
    renew().catch((err) => log('renewalLoopFailed', { reason: String(err) }))
  }

  function renewNow (): void {
    startRenewal()
  }

  startRenewal()

  return {
    isValid: () => holderMs() < validUntil,
    validUntil: () => validUntil,
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
