import { type Address, type RenewRequest, type RenewResult } from '@briarpick/types'
import { type Service } from '@briarpick/kernel'
import { createLogger } from '@briarpick/logs'
import { type Metrics } from '@briarpick/metrics'
import { createRpcClient, type RpcClient } from '@briarpick/rpc'

/** What control granted. */
export type Grant = Extract<RenewResult, { readonly kind: 'granted' }>

/** Options of a lease keeper. */
export interface LeaseKeeperOptions {
  readonly control: readonly Address[]
  readonly metrics: Metrics
  readonly request: () => RenewRequest
  /** Takes over what came with a grant; called before the lease is longer. */
  readonly onGranted: (grant: Grant, request: RenewRequest) => void
}

/** Holds the proxy's lease by renewing it. */
export interface LeaseKeeper extends Service {
  /** True while the lease holds, counted from when the renewal was sent. */
  isValid: () => boolean
  /** Renews at once. */
  renewNow: () => void
  /** Resolves after the next renewal that starts from now on. */
  renewed: () => Promise<void>
}

const RENEW_MS = 500
const RENEW_TIMEOUT_MS = 700
/** Time before the next control node is asked after a failure, in ms. */
const RETRY_MS = 50
const log = createLogger('proxy:lease')

/** Starts renewing. */
export function createLeaseKeeper (opts: LeaseKeeperOptions): LeaseKeeper {
  const clients = opts.control.map((address) => createRpcClient({ address, handlers: { 'proxy.poke': () => renewNow() } }))
  let current = 0
  let validUntil = -Infinity
  let timer: NodeJS.Timeout | undefined
  let renewing = false
  let again = false
  let closed = false
  let waiters: Array<() => void> = []

  function leaderClient (leader: Address | null): number {
    const found = clients.findIndex(({ address }) => address.host === leader?.host && address.port === leader.port)
    return found >= 0 ? found : (current + 1) % clients.length
  }

  async function renewOnce (client: RpcClient): Promise<boolean> {
    const request = opts.request()
    const sentAt = performance.now()
    const result = await client.request<RenewResult>('control.renew', request, { timeoutMs: RENEW_TIMEOUT_MS })
    if (result.kind === 'notLeader') {
      opts.metrics.count('retries', 'not_leader')
      current = leaderClient(result.leader)
      return false
    }
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
      granted = await renewOnce(clients[current])
    } catch (err) {
      opts.metrics.count('retries', 'renewal_failed')
      log('renewalFailed', { control: current, reason: err instanceof Error ? err.message : String(err) })
      current = (current + 1) % clients.length
    }
    renewing = false
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
    isValid: () => performance.now() < validUntil,
    renewNow,
    renewed () {
      return new Promise((resolve) => {
        waiters.push(resolve)
        renewNow()
      })
    },
    async close () {
      closed = true
      clearTimeout(timer)
      for (const client of clients) client.close()
    },
  }
}
