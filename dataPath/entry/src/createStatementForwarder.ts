import { statementFailure, type StatementRequest } from '@briarpick/types'
import { type StatementOutcome } from '@briarpick/statement-home'
import { type StatementSessionContext } from './createStatementSession.js'
import { type StatementHomeClient } from './statementHomeResolver.js'

/** An outcome, and the home that gave it. */
export interface ForwardResult {
  readonly outcome: StatementOutcome
  /** Where an open transaction lives; undefined if none began. */
  readonly home: StatementHomeClient | undefined
}

/** Runs requests at the present home of their database. */
export interface StatementForwarder {
  /** A transaction that began stays with its home. */
  run: (request: StatementRequest, home: StatementHomeClient | undefined, hasWritten?: boolean) => Promise<ForwardResult>
}

/** Longest time to wait for another home, in ms; a planned handover takes less, and a lost home is refused after it. */
const HANDOVER_WAIT_MS = 300
/** When to come back while a database has no home, in ms: about half of a lease. */
const NO_HOME_RETRY_MS = 1000
/** Least time left that is worth another attempt, in ms. */
const LEAST_LEFT_MS = 5

/** Creates a runner. */
export function createStatementForwarder ({ homeResolver, metrics }: Pick<StatementSessionContext, 'homeResolver' | 'metrics'>): StatementForwarder {
  async function runFresh (request: StatementRequest): Promise<ForwardResult> {
    const startedAt = performance.now()
    const until = startedAt + request.deadlineMs
    const waitUntil = Math.min(until, startedAt + HANDOVER_WAIT_MS)
    for (;;) {
      const home = homeResolver.find(request.database)
      const deadlineMs = Math.round(until - performance.now())
      if (home !== undefined && deadlineMs > LEAST_LEFT_MS) {
        const ran = await runOnce(home, { ...request, deadlineMs })
        if (ran !== undefined) return ran
      }
      const left = waitUntil - performance.now()
      if (left <= 0 || !homeResolver.isControlReachable()) return { outcome: refuse(request), home: undefined }
      metrics.count('retries', home === undefined ? 'no_home' : 'home_moved')
      await homeResolver.changed(request.database, Math.min(left, HANDOVER_WAIT_MS))
    }
  }

  /** Undefined if the request provably did not run there, or may run again without harm. */
  async function runOnce (home: StatementHomeClient, request: StatementRequest): Promise<ForwardResult | undefined> {
    const result = await home.run(request)
    if (result.kind === 'notSent') return undefined
    if (result.kind === 'lost') {
      if (request.transaction === null && isRead(request)) return undefined
      return { outcome: lost(request, false), home: undefined }
    }
    const { outcome } = result
    if (outcome.reply.kind === 'error' && outcome.reply.reason === 'not_home') return undefined
    return { outcome, home: outcome.state === 'open' || outcome.reply.kind === 'done' ? home : begunAt(home, outcome) }
  }

  /** A transaction that failed at a target still holds its connection until it is rolled back. */
  function begunAt (home: StatementHomeClient, { state }: StatementOutcome): StatementHomeClient | undefined {
    return state === 'failed' ? home : undefined
  }

  function refuse (request: StatementRequest): StatementOutcome {
    return {
      reply: statementFailure('busy', 'no_home', { retryAfterMs: NO_HOME_RETRY_MS }),
      state: request.transaction === null ? 'idle' : 'failed',
    }
  }

  function isRead ({ action }: StatementRequest): boolean {
    return (action.kind === 'query' || action.kind === 'execute') && action.access === 'read'
  }

  /** Without a COMMIT, a transaction ends with its link; a write on its own may have landed. */
  function lost (request: StatementRequest, hasWritten: boolean): StatementOutcome {
    const mayHaveLanded = request.transaction === null ? !isRead(request) : request.action.kind === 'commit' && hasWritten
    return {
      reply: mayHaveLanded ? statementFailure('outcomeUnknown', 'home_lost') : statementFailure('aborted', 'home_lost'),
      state: request.transaction === null || request.action.kind === 'commit' ? 'idle' : 'failed',
    }
  }

  return {
    async run (request, home, hasWritten = false) {
      if (home === undefined) return await runFresh(request)
      const result = await home.run(request)
      if (result.kind === 'outcome') return { outcome: result.outcome, home }
      const outcome = result.kind === 'lost' ? lost(request, hasWritten) : lost(request, false)
      return { outcome, home }
    },
  }
}
