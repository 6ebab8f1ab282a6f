import {
  laterOf,
  type LogPosition,
  ORIGIN,
  OUTCOME_OF_ERROR,
  type StatementErrorKind,
  statementFailure,
  type StatementReply,
  type StatementRequest,
  type TransactionState,
} from '@briarpick/types'
import { createLogger } from '@briarpick/logs'
import { type WriteSending } from './createAckHistory.js'
import { type SlotGrant, type StatementDispatcher } from './createStatementDispatcher.js'
import { type GroupTarget } from './createTargetGroup.js'
import { type OpenTransaction } from './createTransactionTable.js'
import { INITIAL_SERVICE_TIME_MS, isReadRequest, isWriteRequest, type StatementHomeContext } from './statementHomeContext.js'
import { createTeamCharge, type TeamCharge } from './createTeamCharge.js'
import { runRequest, type RunResult } from './runRequest.js'
import { type StatementOutcome } from './statementHomeTypes.js'
import { type TargetResponse } from './targetDriver.js'

/** Runs statements on targets and derives the replies to their callers. */
export interface StatementRunner {
  /** Runs a statement. Once the signal is aborted, it is no longer begun. */
  run: (request: StatementRequest, signal?: AbortSignal) => Promise<StatementOutcome>
  /** Rolls back a transaction, after its running statement if there is one, and returns its connection to the pool. */
  rollBack: (transaction: OpenTransaction) => void
  /** Number of requests being run outside open transactions, queued ones included. */
  inFlight: () => number
}

/** Term and writes of a statement or its transaction: they decide whether a success makes writes durable. */
interface WriteScope {
  /** Term of the view when the statement or its transaction began. */
  readonly term: number
  readonly hasWritten: boolean
  /** How the statement was sent, at the earliest. */
  readonly sent: WriteSending
}

/** Maximum number of attempts at a statement that provably did not run, or that is safe to run twice. */
const MAX_ATTEMPTS = 3
/** Timeout of the first attempt at a read, as a multiple of the average response time. */
const READ_TIMEOUT_FACTOR = 8
/** Lower bound of the timeout of a read, in ms. */
const MIN_READ_TIMEOUT_MS = 250
/** Weight of the newest response time in the moving average. */
const NEWEST_WEIGHT = 0.05
/** Errors by which a target shows that it, rather than the statement, is at fault. Load makes all targets busy, not a single one. */
const TARGET_FAILURES: ReadonlySet<StatementErrorKind> = new Set(['failed', 'timeout', 'outcomeUnknown', 'busy', 'aborted'])
/** Errors of a preparation that other targets, or other connections, would answer alike. */
const SAME_EVERYWHERE: ReadonlySet<StatementErrorKind> = new Set(['readOnly', 'malformed', 'tooLarge'])
/** Timeout of a rollback, in ms; the connection is closed after it. */
const ROLLBACK_TIMEOUT_MS = 500
/**
 * Delay before a statement inside a transaction is sent again to a busy target, in ms, multiplied by the attempt. Also the retry
 * delay suggested to a caller whose attempts are used up.
 */
const BUSY_RETRY_DELAY_MS = 15
const log = createLogger('home')

/** Number of an attempt at a statement, from 1, the deadline of the statement, in ms, and its charge to the team's limit. */
interface Attempt {
  readonly attempt: number
  readonly deadline: number
  readonly charge: TeamCharge
}

/**
 * Time after which a read is retried on another target, in ms. It doubles with each attempt, and the last attempt has no limit
 * but the deadline: if all targets are slow, abandoning each in turn would only waste their work.
 */
export function readTimeoutMs (attempt: number, averageMs: number): number {
  if (attempt >= MAX_ATTEMPTS) return Infinity
  return Math.max(MIN_READ_TIMEOUT_MS, averageMs * READ_TIMEOUT_FACTOR) * 2 ** (attempt - 1)
}

/** Creates a runner. */
export function createStatementRunner (context: StatementHomeContext, dispatcher: StatementDispatcher): StatementRunner {
  const { transactions, writes, now, opts } = context
  let averageMs = INITIAL_SERVICE_TIME_MS
  let inFlight = 0

  async function run (request: StatementRequest, signal?: AbortSignal): Promise<StatementOutcome> {
    if (request.transaction !== null && request.begins === null) return await runInTransaction(request, request.transaction)
    inFlight += 1
    const charge = createTeamCharge(opts.teamLimiter, request)
    try {
      return await runOutsideTransaction(request, charge, signal)
    } finally {
      charge.close()
      inFlight -= 1
    }
  }

  /** Runs a single statement, or the first one of a transaction. */
  async function runOutsideTransaction (
    request: StatementRequest,
    charge: TeamCharge,
    signal: AbortSignal | undefined
  ): Promise<StatementOutcome> {
    const deadline = now() + request.deadlineMs
    const excluded = new Set<string>()
    for (let attempt = 1; ; attempt += 1) {
      const refusal = context.accepts(request) ? await charge.acquire() : undefined
      if (refusal !== undefined) return failed(request, refusal)
      if (!context.accepts(request)) return failed(request, statementFailure('aborted', 'not_home'))
      const grant = await dispatcher.acquire(request, { excluded, deadline, signal })
      if (grant.kind === 'error') return failed(request, grant)
      const outcome = await runGranted(request, grant, { deadline, attempt, charge })
      if (outcome !== 'retry') return outcome
      const reason = `attempt_${attempt}`
      opts.metrics.count('retries', reason)
      if (attempt >= MAX_ATTEMPTS || deadline - now() <= 0) return failed(request, statementFailure('busy', 'attempts_used', { retryAfterMs: BUSY_RETRY_DELAY_MS }))
      excluded.add(grant.target.member.instance)
      if (excluded.size >= [...context.group.all()].length || !isReadRequest(request)) excluded.clear()
    }
  }

  async function runGranted (request: StatementRequest, grant: SlotGrant, attempt: Attempt): Promise<StatementOutcome | 'retry'> {
    const { target, connection } = grant
    const term = context.view().term
    const sent = currentSending(isWriteRequest(request) && request.transaction === null)
    const result = await runWithTimeout(request, grant, attempt)
    if (mayHaveRun(result)) attempt.charge.use()
    grant.releaseSlot()
    recordResult(request, target, result, now() - sent.at)
    opts.metrics.count(isReadRequest(request) ? 'reads' : 'writes', target.member.instance === context.view().primary ? 'primary' : 'replica')
    if (result.kind === 'answered') {
      averageMs += NEWEST_WEIGHT * (now() - sent.at - averageMs)
      if (target.member.instance !== context.view().primary) target.prober.recordApplied(result.answer.position)
      target.prober.recordResponse()
      const isLacking = result.answer.error?.kind === 'lagging' && grant.mustSee !== null
      if (isLacking) target.prober.recordLacking(context.history.ageOf(grant.mustSee, sent.at))
    } else if (result.kind === 'lost') {
      target.prober.probeNow()
    }
    const isTransaction = request.transaction !== null
    const hasBegun = isTransaction && result.kind === 'answered' && result.answer.state !== 'idle'
    if (hasBegun && request.transaction !== null) {
      transactions.add({
        key: request.transaction,
        access: request.begins ?? 'write',
        target,
        connection,
        term,
        hasWritten: isWriteRequest(request),
        hasRunWrite: isWriteRequest(request) && isSuccess(result),
        isBusy: false,
        isAbandoned: false,
        idleSince: now(),
      })
    } else {
      target.pool.release(connection)
    }
    if (isRetryable(request, result)) {
      if (hasBegun && request.transaction !== null) dropTransaction(request.transaction)
      return 'retry'
    }
    return await outcomeOf(request, result, { term, hasWritten: isWriteRequest(request), sent })
  }

  /** How a statement is sent now; `commitsWrite` is true if a write is committed should it succeed. */
  function currentSending (commitsWrite: boolean): WriteSending {
    return { at: now(), followed: commitsWrite ? context.history.latest() : undefined }
  }

  function recordResult (request: StatementRequest, { member }: GroupTarget, result: RunResult, ms: number): void {
    const error = result.kind === 'answered' ? result.answer.error?.kind : result.kind === 'notSent' ? result.error : 'timeout'
    context.group.recordResult(member.instance, {
      access: isReadRequest(request) ? 'read' : 'write',
      ms,
      isFailure: error !== undefined && TARGET_FAILURES.has(error),
      aimMs: request.aimMs,
    })
    const targets = ms > request.aimMs ? context.group.describeOutliers() : undefined
    if (targets !== undefined) logSlowStatement(request, member.instance, { ms, targets })
  }

  /** Logs where a statement took longer than its latency objective, beside the averages of all targets. */
  function logSlowStatement (
    { id, aimMs }: StatementRequest,
    instance: string,
    { ms, targets }: { readonly ms: number, readonly targets: string }
  ): void {
    log('statementSlow', { id, database: context.database, instance, ms: Math.round(ms), aimMs, targets })
  }

  /** Limits a read to the timeout of its attempt, since it can run on another target; everything else has until its deadline. */
  async function runWithTimeout (request: StatementRequest, grant: SlotGrant, { deadline, attempt }: Attempt): Promise<RunResult> {
    const remainingMs = deadline - now()
    const isRepeatable = isReadRequest(request) && request.action.kind !== 'commit'
    const timeoutMs = isRepeatable ? Math.min(remainingMs, readTimeoutMs(attempt, averageMs)) : remainingMs
    const onEnded = grant.target.prober.trackStatement()
    let onWriteEnded: ReturnType<typeof writes.track> | undefined
    const result = await runRequest(grant.connection, request, {
      mustSee: grant.mustSee,
      timeoutMs,
      onSent () { if (isWriteRequest(request)) onWriteEnded = writes.track(request.transaction === null) },
    })
    onEnded()
    onWriteEnded?.(result.kind === 'answered')
    return result
  }

  /** True if the statement did not run, or if it is safe to run twice. */
  function isRetryable (request: StatementRequest, result: RunResult): boolean {
    if (result.kind === 'notSent') return !SAME_EVERYWHERE.has(result.error)
    if (result.kind === 'lost') return isReadRequest(request)
    const { error } = result.answer
    if (error === null || (request.transaction !== null && result.answer.state !== 'idle' && error.kind !== 'busy')) return false
    if (error.kind === 'busy' || error.kind === 'lagging') return true
    return error.kind === 'failed' && isReadRequest(request) && request.transaction === null
  }

  async function runInTransaction (request: StatementRequest, key: string): Promise<StatementOutcome> {
    const transaction = transactions.get(key)
    if (transaction === undefined) return failed(request, statementFailure('aborted', 'transaction_ended'))
    if (request.action.kind === 'rollback') {
      rollBack(transaction)
      return { reply: { kind: 'done', rows: [], signature: '', position: null }, state: 'idle' }
    }
    transaction.isBusy = true
    const sent = currentSending(request.action.kind === 'commit' && transaction.hasRunWrite)
    const deadline = sent.at + request.deadlineMs
    const result = await runOnTransaction(request, transaction, deadline)
    transaction.isBusy = false
    transaction.idleSince = now()
    if (isWriteRequest(request)) {
      transaction.hasWritten = true
      if (result !== 'noSlot' && isSuccess(result)) transaction.hasRunWrite = true
    }
    if (result === 'noSlot') return { reply: statementFailure('busy', 'overloaded'), state: 'open' }
    const { term, hasWritten } = transaction
    const outcome = await outcomeOf(request, result, { term, hasWritten, sent })
    const hasEnded = result.kind !== 'answered' || result.answer.state === 'idle'
    if (hasEnded) {
      transactions.remove(key)
      transaction.target.pool.release(transaction.connection)
    } else if (transaction.isAbandoned) {
      rollBack(transaction)
    }
    return outcome
  }

  async function runOnTransaction (
    request: StatementRequest,
    transaction: OpenTransaction,
    deadline: number
  ): Promise<RunResult | 'noSlot'> {
    const { target, connection } = transaction
    const isCommitOfWrites = request.action.kind === 'commit' && transaction.hasWritten
    for (let attempt = 1; ; attempt += 1) {
      const releaseSlot = await dispatcher.acquireSlot(target, request, { deadline, commitsWrites: isCommitOfWrites })
      if (releaseSlot === undefined) return 'noSlot'
      let onWriteEnded: ReturnType<typeof writes.track> | undefined
      const onEnded = target.prober.trackStatement()
      const result = await runRequest(connection, request, {
        mustSee: null,
        timeoutMs: deadline - now(),
        onSent () { if (isCommitOfWrites) onWriteEnded = writes.track(true) },
      })
      onEnded()
      onWriteEnded?.(result.kind === 'answered')
      releaseSlot()
      if (result.kind === 'answered') target.prober.recordResponse()
      if (result.kind === 'lost') target.prober.probeNow()
      const isBusy = result.kind === 'answered' && result.answer.error?.kind === 'busy' && result.answer.state === 'open'
      if (!isBusy || attempt >= MAX_ATTEMPTS) return result
      await new Promise((resolve) => setTimeout(resolve, BUSY_RETRY_DELAY_MS * attempt))
    }
  }

  async function outcomeOf (request: StatementRequest, result: RunResult, scope: WriteScope): Promise<StatementOutcome> {
    if (result.kind === 'notSent') return failed(request, statementFailure(notRunErrorKind(result.error), 'not_sent', { text: result.text }))
    if (result.kind === 'lost') return failed(request, lostReply(request, result.why, scope.hasWritten))
    return await answeredOutcome(request, result.answer, scope)
  }

  /** Error kind for a statement that was not sent; always one with the outcome `notRun`. */
  function notRunErrorKind (error: StatementErrorKind): StatementErrorKind {
    return OUTCOME_OF_ERROR[error] === 'notRun' ? error : 'aborted'
  }

  /** True if a statement that was sent may have changed data for good. */
  function mayHaveCommitted (request: StatementRequest, hasWritten: boolean): boolean {
    return request.transaction === null ? !isReadRequest(request) : request.action.kind === 'commit' && hasWritten
  }

  /** If no COMMIT was sent, the target rolls the transaction back when the connection closes; without writes, COMMIT has no effect. */
  function lostReply (request: StatementRequest, why: string, hasWritten: boolean): StatementReply {
    return mayHaveCommitted(request, hasWritten)
      ? statementFailure('outcomeUnknown', `answer_${why}`)
      : statementFailure('aborted', `answer_${why}`)
  }

  async function answeredOutcome (request: StatementRequest, answer: TargetResponse, scope: WriteScope): Promise<StatementOutcome> {
    const { error, state } = answer
    if (error !== null) {
      const reply = statementFailure(error.kind, `target_${error.kind}`, { text: error.text })
      return { reply, state: request.transaction === null ? 'idle' : state }
    }
    if (answer.signature === null) return failed(request, lostReply(request, 'unsigned', scope.hasWritten))
    const makesDurable = (request.transaction === null || request.action.kind === 'commit') && scope.hasWritten
    if (makesDurable && answer.position !== null && !(await context.acknowledge(scope.term, answer.position, scope.sent))) {
      log('commitNotAcknowledged', { database: context.database, id: request.id, term: scope.term, viewTerm: context.view().term })
      return failed(request, statementFailure('outcomeUnknown', 'primary_replaced'))
    }
    // A write that has run is told as unknown: its success without its rows would be a wrong answer.
    if (answer.isIncomplete === true) {
      return failed(request, statementFailure(mayHaveCommitted(request, scope.hasWritten) ? 'outcomeUnknown' : 'failed', 'reply_too_large'))
    }
    const position = makesDurable ? answer.position : null
    return { reply: { kind: 'done', rows: answer.rows, signature: answer.signature, position }, state }
  }

  function failed (request: StatementRequest, reply: StatementReply): StatementOutcome {
    const state: TransactionState = request.transaction === null || request.action.kind === 'commit' ? 'idle' : 'failed'
    return { reply, state }
  }

  function dropTransaction (key: string): void {
    const transaction = transactions.get(key)
    if (transaction !== undefined) rollBack(transaction)
  }

  function rollBack (transaction: OpenTransaction): void {
    if (transaction.isBusy) {
      transaction.isAbandoned = true
      return
    }
    transactions.remove(transaction.key)
    const { connection, target } = transaction
    const timer = setTimeout(() => connection.link.close(), ROLLBACK_TIMEOUT_MS)
    connection.link.run({ kind: 'rollback' })
      .then((answer) => { if (answer.state !== 'idle') connection.link.close() }, () => connection.link.close())
      .finally(() => {
        clearTimeout(timer)
        target.pool.release(connection)
      })
      .catch(() => {})
  }

  return {
    run,
    rollBack,
    inFlight: () => inFlight,
  }
}

function isSuccess (result: RunResult): boolean {
  return result.kind === 'answered' && result.answer.error === null
}

function mayHaveRun (result: RunResult): boolean {
  if (result.kind !== 'answered') return result.kind === 'lost'
  return result.answer.error === null || OUTCOME_OF_ERROR[result.answer.error.kind] !== 'notRun'
}

/** Highest of several positions; the origin if there are none. */
export function highestPosition (positions: Iterable<LogPosition>): LogPosition {
  return [...positions].reduce(laterOf, ORIGIN)
}
