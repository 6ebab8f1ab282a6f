import { type DatabaseView } from '@briarpick/types'
import { elapsedMs } from '@briarpick/clock'
import { type Service } from '@briarpick/kernel'
import { createLogger } from '@briarpick/logs'
import { type Metrics } from '@briarpick/metrics'
import { type ControlNode } from './createControlNode.js'

/** What the platform said to a promotion: it is done, the target does not run, or nobody knows. */
export type PromoteResult = 'done' | 'notRunning' | 'unknown'

/** A call of the platform that makes a target primary. The token grows with each holder. */
export type PromoteCall = (order: {
  readonly database: string
  readonly instance: string
  readonly holder: string
  readonly token: number
  /** Longest time for the platform's answer, in ms; the call may not take effect long after it. */
  readonly answerTimeoutMs: number
}) => Promise<PromoteResult>

/** Options of a promoter. */
export interface PromoterOptions {
  readonly node: ControlNode
  readonly holder: string
  readonly call: PromoteCall
  readonly isSettled: () => boolean
  readonly metrics: Metrics
}

interface Ordered {
  readonly term: number
  readonly heir: string
  readonly at: number
  readonly isRunning: boolean
  readonly result: PromoteResult | undefined
}

const CHECK_MS = 50
/** Longest time for the platform's answer, in ms: well over its usual time, and before another target may be named. */
const ANSWER_TIMEOUT_MS = 1500
/** Time to the next call after each result, in ms. A promotion takes effect some hundred ms after its call. */
const AGAIN_MS: Readonly<Record<PromoteResult, number>> = { done: 4000, notRunning: 500, unknown: 300 }
/** Time after a call without an answer until another target may be named, in ms: by then it is lost or carried out. */
const OTHER_HEIR_MS = 2000
const log = createLogger('control:promoter')

/** Starts the leader's duty to call the platform for each promotion that is in the log. */
export function createPromoter (opts: PromoterOptions): Service {
  const { node } = opts
  const ordered = new Map<string, Ordered>()
  let inherited: ReadonlyMap<string, number> = new Map()
  let knownLeaderSince: number | undefined
  const timer = setInterval(check, CHECK_MS)

  /** Promotions that were in the log when this node began to lead: an earlier leader may have called for them just now. */
  function noteInherited (): void {
    const since = node.leaderSince()
    if (since === knownLeaderSince) return
    knownLeaderSince = since
    ordered.clear()
    const promoting = Object.values(node.state().views).filter(({ state }) => state === 'promoting')
    inherited = new Map(promoting.map(({ database, term }) => [database, term]))
  }

  function check (): void {
    if (!node.isReady()) return
    noteInherited()
    for (const view of Object.values(node.state().views)) {
      if (inherited.get(view.database) === view.term && !opts.isSettled()) continue
      if (view.state !== 'promoting' || typeof view.heir !== 'string') ordered.delete(view.database)
      else if (isDue(view, view.heir)) order(view, view.heir)
    }
  }

  function isDue (view: DatabaseView, heir: string): boolean {
    const last = ordered.get(view.database)
    if (last === undefined) return true
    if (last.isRunning) return false
    const since = elapsedMs() - last.at
    if (last.heir !== heir) return last.result !== 'unknown' || since > OTHER_HEIR_MS
    return last.result === undefined || since > AGAIN_MS[last.result]
  }

  function order (view: DatabaseView, heir: string): void {
    const { database, term } = view
    const { term: token } = node.status()
    const note = (isRunning: boolean, result: PromoteResult | undefined) =>
      ordered.set(database, { term, heir, at: elapsedMs(), isRunning, result })
    note(true, undefined)
    opts.call({ database, instance: heir, holder: opts.holder, token, answerTimeoutMs: ANSWER_TIMEOUT_MS })
      .catch((err): PromoteResult => {
        log('promoteFailed', { database, heir, reason: String(err) })
        return 'unknown'
      })
      .then((result) => {
        opts.metrics.count('events', `promote_${result}`)
        log('promote', { database, heir, term, token, result })
        note(false, result)
      })
      .catch((err) => log('promoteNotNoted', { database, reason: String(err) }))
  }

  return {
    async close () {
      clearInterval(timer)
    },
  }
}
