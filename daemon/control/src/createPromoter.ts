import { type DatabaseView, type HomeReport } from '@briarpick/types'
import { instanceToPromote } from '@briarpick/failover'
import { granterMs } from '@briarpick/clock'
import { type Service } from '@briarpick/kernel'
import { createLogger } from '@briarpick/logs'
import { type Metrics } from '@briarpick/metrics'
import { type ControlNode } from './createControlNode.js'

/** Platform's response to a promotion request: accepted, target not running, or outcome unknown. */
export type PromoteResult = 'done' | 'notRunning' | 'unknown'

/** Requests the platform to promote a target to primary. The fencing token is higher for each later holder. */
export type PromoteCall = (request: {
  readonly database: string
  readonly instance: string
  readonly holder: string
  /** Fencing token; the consensus term of the leader. */
  readonly token: number
  /** Timeout of the platform's response, in ms; the call must not take effect long after it. */
  readonly answerTimeoutMs: number
}) => Promise<PromoteResult>

/** Options of a promoter. */
export interface PromoterOptions {
  readonly node: ControlNode
  /** Name of this node, which the platform gets as the holder of the fencing token. */
  readonly holder: string
  readonly call: PromoteCall
  /** True once every lease that an earlier leader may have granted has expired. */
  readonly haveEarlierLeasesExpired: () => boolean
  /** Latest report of the home in a view; undefined if there is none. */
  readonly reportOf: (view: DatabaseView) => HomeReport | undefined
  readonly metrics: Metrics
}

/** Latest promotion request for a database. */
interface PromotionAttempt {
  readonly term: number
  /** Target to be promoted. */
  readonly heir: string
  /** Time of the request or, once there is a result, of the result, in ms. */
  readonly updatedAt: number
  readonly isInFlight: boolean
  /** Undefined while the request is in flight. */
  readonly result: PromoteResult | undefined
}

const CHECK_INTERVAL_MS = 50
/** Timeout of the platform's response, in ms; well above the usual response time, and below `HEIR_CHANGE_DELAY_MS`. */
const CALL_TIMEOUT_MS = 1500
/** Delay before the next call for the same target, in ms, by result; a promotion takes effect a few hundred ms after its call. */
const RETRY_DELAY_MS: Readonly<Record<PromoteResult, number>> = { done: 4000, notRunning: 500, unknown: 300 }
/** Delay after a call of unknown outcome before another target is promoted, in ms; by then the call is lost or has taken effect. */
const HEIR_CHANGE_DELAY_MS = 2000
const log = createLogger('control:promoter')

/** Starts the promoter, which calls the platform on the leader for each promotion in the log. */
export function createPromoter (opts: PromoterOptions): Service {
  const { node } = opts
  const attempts = new Map<string, PromotionAttempt>()
  /** Terms of the promotions that were in progress when this node became leader, by database. */
  let inherited: ReadonlyMap<string, number> = new Map()
  let knownLeaderSince: number | undefined
  const timer = setInterval(check, CHECK_INTERVAL_MS)

  /**
   * Records the promotions in progress when this node became leader. They wait for the leases of earlier leaders to expire, since
   * an earlier leader may have just called the platform for them.
   */
  function recordInherited (): void {
    const since = node.leaderSince()
    if (since === knownLeaderSince) return
    knownLeaderSince = since
    attempts.clear()
    const promoting = Object.values(node.state().views).filter(({ state }) => state === 'promoting')
    inherited = new Map(promoting.map(({ database, term }) => [database, term]))
  }

  function check (): void {
    if (!node.isReady()) return
    recordInherited()
    for (const view of Object.values(node.state().views)) {
      if (inherited.get(view.database) === view.term && !opts.haveEarlierLeasesExpired()) continue
      const heir = instanceToPromote(view, opts.reportOf(view), opts.haveEarlierLeasesExpired())
      if (heir === undefined) attempts.delete(view.database)
      else if (isDue(view, heir)) requestPromotion(view, heir)
    }
  }

  function isDue (view: DatabaseView, heir: string): boolean {
    const last = attempts.get(view.database)
    if (last === undefined) return true
    if (last.isInFlight) return false
    const since = granterMs() - last.updatedAt
    if (last.heir !== heir) return last.result !== 'unknown' || since > HEIR_CHANGE_DELAY_MS
    return last.result === undefined || since > RETRY_DELAY_MS[last.result]
  }

  function requestPromotion (view: DatabaseView, heir: string): void {
    const { database, term } = view
    const { term: token } = node.status()
    const recordAttempt = (isInFlight: boolean, result: PromoteResult | undefined) =>
      attempts.set(database, { term, heir, updatedAt: granterMs(), isInFlight, result })
    recordAttempt(true, undefined)
    opts.call({ database, instance: heir, holder: opts.holder, token, answerTimeoutMs: CALL_TIMEOUT_MS })
      .catch((err): PromoteResult => {
        log('promotionFailed', { database, heir, reason: String(err) })
        return 'unknown'
      })
      .then((result) => {
        opts.metrics.count('events', `promote_${result}`)
        log('promotionAttempted', { database, heir, term, token, result })
        recordAttempt(false, result)
      })
      .catch((err) => log('promotionNotRecorded', { database, reason: String(err) }))
  }

  return {
    async close () {
      clearInterval(timer)
    },
  }
}
