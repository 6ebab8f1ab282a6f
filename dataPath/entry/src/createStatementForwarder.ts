import { type StatementFailure, statementFailure, type StatementRequest, type TransactionState } from '@briarpick/types'
import { createLogger } from '@briarpick/logs'
import { type StatementOutcome } from '@briarpick/statement-home'
import { type StatementLinkResult } from '@briarpick/statement-link'
import { type Interruption } from './createInterruption.js'
import { type StatementSessionContext } from './createStatementSession.js'
import { type StatementHomeClient } from './statementHomeFinder.js'

/** Outcome of a request and the home of its transaction. */
export interface ForwardResult {
  readonly outcome: StatementOutcome
  /** Home that runs the transaction; undefined if none was started. */
  readonly home: StatementHomeClient | undefined
}

/** Forwards requests to the home of their database. */
export interface StatementForwarder {
  /**
   * Runs a request on `home`, the home that runs its transaction. If `home` is undefined, runs the request on the current home of
   * the database, and retries it for a limited time if it did not run there, or if the link was lost and the request is a read
   * outside a transaction.
   *
   * @param hasWritten whether the transaction contains a write, so that the outcome of a lost COMMIT is unknown
   * @param signal aborted when the caller has left: a request that still waits is then not begun
   */
  run: (
    request: StatementRequest, home: StatementHomeClient | undefined, hasWritten?: boolean, signal?: AbortSignal
  ) => Promise<ForwardResult>
}

/** Maximum time to wait for another home, in ms, while the present one may be handing over. */
const HANDOVER_WAIT_MS = 300
/** Usual time from the last answer of a lost home until the next one serves, in ms: its lease, the assignment and the first probe. */
const NEXT_HOME_AFTER_MS = 1250
/** Longest wait for the next home, as a fraction of the remaining time of a request. */
const MAX_NEXT_HOME_WAIT_FRACTION = 0.7
/** Retry delay suggested while a database has no home, in ms: about half of a lease. */
const NO_HOME_RETRY_AFTER_MS = 1000
/** Minimum time until the deadline at which an attempt is made, in ms. */
const MIN_ATTEMPT_MS = 5

/** Reason of the refusals after an interruption. */
export const STOPPING = 'stopping'
/** Reason of a home's refusal of an operation beyond its team's limit. */
const RATE_LIMITED = 'rate_limited'
const LOST: StatementLinkResult = { kind: 'lost' }
const log = createLogger('entry')

type ForwarderContext = Pick<StatementSessionContext, 'homeFinder' | 'metrics' | 'refusals' | 'waitBoard'>

/**
 * Creates a forwarder to the homes that the finder locates. Once interrupted, requests that wait or run get an outcome at once: a
 * refusal, or an unknown outcome if a write may have been applied.
 */
export function createStatementForwarder (
  { homeFinder, metrics, refusals, waitBoard }: ForwarderContext,
  interruption: Interruption
): StatementForwarder {
  /** Refuses an operation of a team that its home has refused a moment ago, without asking the home again. */
  function refuseLocally ({ id, database, team, transaction }: StatementRequest): StatementOutcome | undefined {
    const remembered = team === null ? undefined : refusals?.check(database, team)
    if (remembered === undefined) return undefined
    const { retryAfterMs } = remembered
    metrics.count('events', 'rate_limited_at_entry')
    log('rateLimited', { id, database, team, retryAfterMs, refusedBefore: remembered.id })
    return { reply: statementFailure('busy', RATE_LIMITED, { retryAfterMs }), state: transaction === null ? 'idle' : 'failed' }
  }

  function rememberRefusal ({ id, database, team }: StatementRequest, { reply }: StatementOutcome): void {
    if (team === null || reply.kind !== 'error' || reply.reason !== RATE_LIMITED || reply.retryAfterMs === null) return
    refusals?.record(database, team, { id, retryAfterMs: reply.retryAfterMs })
  }

  async function runOnCurrentHome (request: StatementRequest, signal?: AbortSignal): Promise<ForwardResult> {
    const startedAt = performance.now()
    const deadlineAt = startedAt + request.deadlineMs
    const waitUntil = Math.min(deadlineAt, startedAt + HANDOVER_WAIT_MS)
    while (signal?.aborted !== true) {
      if (interruption.isInterrupted()) return { outcome: notSent(request, statementFailure('busy', STOPPING)), home: undefined }
      const home = homeFinder.find(request.database)
      const deadlineMs = Math.round(deadlineAt - performance.now())
      if (home !== undefined && deadlineMs > MIN_ATTEMPT_MS) {
        const refusedForMs = waitBoard.refusedForMs(request, home.epoch, performance.now())
        if (refusedForMs > 0) return { outcome: homeFull(request, refusedForMs), home: undefined }
        const result = await tryHome(home, { ...request, deadlineMs }, signal)
        if (result !== undefined) return result
      }
      const unresponsiveMs = home?.unresponsiveMs() ?? 0
      const remainingMs = unresponsiveMs > 0
        ? nextHomeWaitMs(unresponsiveMs, deadlineAt - performance.now())
        : waitUntil - performance.now()
      if (remainingMs <= 0 || !homeFinder.isControlReachable()) return { outcome: noHome(request, unresponsiveMs), home: undefined }
      metrics.count('retries', home === undefined ? 'no_home' : 'home_moved')
      await interruption.race(homeFinder.waitForChange(request.database, Math.min(remainingMs, HANDOVER_WAIT_MS)), undefined)
    }
    return { outcome: notSent(request, statementFailure('aborted', 'caller_left')), home: undefined }
  }

  /** The home would refuse the request, so it is not sent. */
  function homeFull (request: StatementRequest, retryAfterMs: number): StatementOutcome {
    return notSent(request, statementFailure('busy', 'home_full', { retryAfterMs: Math.ceil(retryAfterMs) }))
  }

  function notSent (request: StatementRequest, reply: StatementFailure): StatementOutcome {
    return { reply, state: stateIfNotRun(request) }
  }

  /** Resolves to undefined if the request can be retried: it did not run, or it is a read outside a transaction. */
  async function tryHome (
    home: StatementHomeClient, request: StatementRequest, signal: AbortSignal | undefined
  ): Promise<ForwardResult | undefined> {
    const result = await interruption.race(home.run(request, signal), LOST)
    if (result.kind === 'notSent') return undefined
    if (result.kind === 'lost') {
      if (request.transaction === null && isRead(request)) return undefined
      // The first statement may have opened the transaction, so it is rolled back once the home answers again.
      return { outcome: homeLost(request, false), home: request.transaction === null ? undefined : home }
    }
    const { outcome } = result
    waitBoard.record(request.database, home.epoch, outcome.waits ?? [], performance.now())
    if (outcome.reply.kind === 'error' && outcome.reply.reason === 'not_home') return undefined
    return { outcome, home: outcome.state === 'open' || outcome.reply.kind === 'done' ? home : homeOfFailedTransaction(home, outcome) }
  }

  /** A failed transaction keeps its connection to the target until it is rolled back, so its home must be known. */
  function homeOfFailedTransaction (home: StatementHomeClient, { state }: StatementOutcome): StatementHomeClient | undefined {
    return state === 'failed' ? home : undefined
  }

  function noHome (request: StatementRequest, unresponsiveMs: number): StatementOutcome {
    const isExpected = unresponsiveMs > 0 && unresponsiveMs < NEXT_HOME_AFTER_MS
    const retryAfterMs = isExpected ? Math.ceil(NEXT_HOME_AFTER_MS - unresponsiveMs) : NO_HOME_RETRY_AFTER_MS
    return notSent(request, statementFailure('busy', unresponsiveMs > 0 ? 'home_silent' : 'no_home', { retryAfterMs }))
  }

  function stateIfNotRun ({ transaction }: StatementRequest): TransactionState {
    return transaction === null ? 'idle' : 'failed'
  }

  function isRead ({ action }: StatementRequest): boolean {
    return (action.kind === 'query' || action.kind === 'execute') && action.access === 'read'
  }

  /**
   * A write outside a transaction, or the COMMIT of one that contains writes, may have been applied. Any other transaction is
   * rolled back when its link closes.
   */
  function homeLost (request: StatementRequest, hasWritten: boolean): StatementOutcome {
    const mayHaveBeenApplied = request.transaction === null ? !isRead(request) : request.action.kind === 'commit' && hasWritten
    return {
      reply: mayHaveBeenApplied ? statementFailure('outcomeUnknown', 'home_lost') : statementFailure('aborted', 'home_lost'),
      state: request.transaction === null || request.action.kind === 'commit' ? 'idle' : 'failed',
    }
  }

  return {
    async run (request, home, hasWritten = false, signal = undefined) {
      if (home === undefined) {
        const refused = refuseLocally(request)
        if (refused !== undefined) return { outcome: refused, home: undefined }
        const result = await runOnCurrentHome(request, signal)
        rememberRefusal(request, result.outcome)
        return result
      }
      const result = await interruption.race(home.run(request), LOST)
      if (result.kind === 'outcome') return { outcome: result.outcome, home }
      const outcome = result.kind === 'lost' ? homeLost(request, hasWritten) : homeLost(request, false)
      return { outcome, home }
    },
  }
}

/**
 * Time for which a request may still wait although its home does not answer, in ms; 0 if it is to be rejected at once. It waits
 * while the home may only be handing over, and for the next home if that is expected well before the request's deadline.
 */
export function nextHomeWaitMs (unresponsiveMs: number, remainingMs: number): number {
  if (unresponsiveMs < HANDOVER_WAIT_MS) return Math.min(HANDOVER_WAIT_MS - unresponsiveMs, remainingMs)
  const expectedMs = Math.max(0, NEXT_HOME_AFTER_MS - unresponsiveMs)
  const isOverdue = unresponsiveMs > NEXT_HOME_AFTER_MS + HANDOVER_WAIT_MS
  return isOverdue || expectedMs > remainingMs * MAX_NEXT_HOME_WAIT_FRACTION ? 0 : remainingMs * MAX_NEXT_HOME_WAIT_FRACTION
}
