import {
  FATE_OF_ERROR,
  laterOf,
  type LogPosition,
  ORIGIN,
  type StatementErrorKind,
  statementFailure,
  type StatementReply,
  type StatementRequest,
  type TransactionState,
} from '@briarpick/types'
import { createLogger } from '@briarpick/logs'
import { type Dispatcher, type Grant } from './createDispatcher.js'
import { type OpenTransaction } from './createTransactions.js'
import { FIRST_WORK_MS, type HomeContext, isReadRequest, isWriteRequest } from './homeContext.js'
import { createWriteProgress } from './createWriteProgress.js'
import { runRequest, type RunResult } from './runCommand.js'
import { type StatementOutcome } from './statementHomeTypes.js'
import { type TargetAnswer } from './targetDriver.js'

/** Runs statements on targets and decides what their callers are told. */
export interface StatementRunner {
  run: (request: StatementRequest) => Promise<StatementOutcome>
  /** Rolls a transaction back and gives its connection back. */
  rollBack: (transaction: OpenTransaction) => void
  /** Time for which writes have waited and none has been answered, in ms. */
  stuckMs: () => number
  isWriting: () => boolean
  /** Statements at work outside open transactions. */
  newWork: () => number
}

/** What decides whether success makes writes last. */
interface Work {
  /** Term of the view under which it began. */
  readonly term: number
  readonly hasWritten: boolean
}

/** Attempts at one statement that is proven not to have run, or that may run twice without harm. */
const MAX_ATTEMPTS = 3
/** Time after which a read is first tried on another target, as a multiple of the usual time, and at least, in ms. */
const HEDGE_FACTOR = 8
const MIN_READ_TIMEOUT_MS = 250
const NEWEST_WEIGHT = 0.05
/** Longest time to roll back, in ms; the connection is closed instead after it. */
const ROLLBACK_TIMEOUT_MS = 500
/** Pause before a statement inside a transaction is sent again to a target that was busy, in ms. */
const BUSY_PAUSE_MS = 15
const log = createLogger('home')

/** One of the attempts at a statement, and when its time is over, in ms. */
interface Attempt {
  readonly attempt: number
  readonly until: number
}

/**
 * Time after which a read is tried on another target, in ms. It grows with each attempt, and the last one has all the time that
 * is left: where all targets are slow, giving up on each in turn would only waste their work.
 */
export function readTimeoutMs (attempt: number, usualMs: number): number {
  if (attempt >= MAX_ATTEMPTS) return Infinity
  return Math.max(MIN_READ_TIMEOUT_MS, usualMs * HEDGE_FACTOR) * 2 ** (attempt - 1)
}

/** Creates a runner without work. */
export function createStatementRunner (context: HomeContext, dispatcher: Dispatcher): StatementRunner {
  const { transactions, now, opts } = context
  const writes = createWriteProgress()
  let usualMs = FIRST_WORK_MS
  let newWork = 0

  async function run (request: StatementRequest): Promise<StatementOutcome> {
    if (request.transaction !== null && request.begins === null) return await runInTransaction(request, request.transaction)
    newWork += 1
    try {
      return await runFresh(request)
    } finally {
      newWork -= 1
    }
  }

  /** A single statement, or the first of a transaction. */
  async function runFresh (request: StatementRequest): Promise<StatementOutcome> {
    const until = now() + request.deadlineMs
    const avoid = new Set<string>()
    for (let attempt = 1; ; attempt += 1) {
      if (!context.mayAct() || !context.takesNew()) return failed(request, statementFailure('aborted', 'not_home'))
      const grant = await dispatcher.acquire(request, avoid, until)
      if (grant.kind === 'error') return failed(request, grant)
      const outcome = await runGranted(request, grant, { until, attempt })
      if (outcome !== 'again') return outcome
      const reason = `attempt_${attempt}`
      opts.metrics.count('retries', reason)
      if (attempt >= MAX_ATTEMPTS || until - now() <= 0) return failed(request, statementFailure('busy', 'attempts_used', { retryAfterMs: BUSY_PAUSE_MS }))
      avoid.add(grant.target.member.instance)
      if (avoid.size >= [...context.group.all()].length || !isReadRequest(request)) avoid.clear()
    }
  }

  async function runGranted (request: StatementRequest, grant: Grant, attempt: Attempt): Promise<StatementOutcome | 'again'> {
    const { target, connection } = grant
    const term = context.view().term
    const sentAt = performance.now()
    const result = await runTimed(request, grant, attempt)
    grant.giveSlot()
    opts.metrics.count(isReadRequest(request) ? 'reads' : 'writes', target.member.instance === context.view().primary ? 'primary' : 'replica')
    if (result.kind === 'answered') {
      usualMs += NEWEST_WEIGHT * (performance.now() - sentAt - usualMs)
      if (target.member.instance !== context.view().primary) target.watch.noteApplied(result.answer.position)
      target.watch.noteAnswer()
    } else if (result.kind === 'lost') {
      target.watch.hurry()
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
        isBusy: false,
        isForgotten: false,
        idleSince: now(),
      })
    } else {
      target.lane.give(connection)
    }
    if (mayRunAgain(request, result)) {
      if (hasBegun && request.transaction !== null) dropTransaction(request.transaction)
      return 'again'
    }
    return await outcomeOf(request, result, { term, hasWritten: isWriteRequest(request) })
  }

  /** A read that may run elsewhere is given up early on a target that does not answer; everything else waits its time. */
  async function runTimed (request: StatementRequest, grant: Grant, { until, attempt }: Attempt): Promise<RunResult> {
    const left = until - now()
    const isRepeatable = isReadRequest(request) && request.action.kind !== 'commit'
    const timeoutMs = isRepeatable ? Math.min(left, readTimeoutMs(attempt, usualMs)) : left
    const ended = grant.target.watch.noteSent()
    let writeEnded: ReturnType<typeof writes.sent> | undefined
    const result = await runRequest(grant.connection, request, {
      mustSee: grant.mustSee,
      timeoutMs,
      onSent () { if (isWriteRequest(request)) writeEnded = writes.sent(now()) },
    })
    ended()
    writeEnded?.(result.kind === 'answered', now())
    return result
  }

  /** True if the statement did not run, or did and may run twice without harm. */
  function mayRunAgain (request: StatementRequest, result: RunResult): boolean {
    if (result.kind === 'notSent') return result.error !== 'readOnly'
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
    const until = now() + request.deadlineMs
    const result = await runOnTransaction(request, transaction, until)
    transaction.isBusy = false
    transaction.idleSince = now()
    if (isWriteRequest(request)) transaction.hasWritten = true
    if (result === 'noSlot') return { reply: statementFailure('busy', 'overloaded'), state: 'open' }
    const outcome = await outcomeOf(request, result, transaction)
    const hasEnded = result.kind !== 'answered' || result.answer.state === 'idle'
    if (hasEnded) {
      transactions.remove(key)
      transaction.target.lane.give(transaction.connection)
    } else if (transaction.isForgotten) {
      rollBack(transaction)
    }
    return outcome
  }

  async function runOnTransaction (
    request: StatementRequest,
    transaction: OpenTransaction,
    until: number
  ): Promise<RunResult | 'noSlot'> {
    const { target, connection } = transaction
    for (let attempt = 1; ; attempt += 1) {
      if (!(await dispatcher.acquireSlot(target, until))) return 'noSlot'
      let writeEnded: ReturnType<typeof writes.sent> | undefined
      const isCommitOfWrites = request.action.kind === 'commit' && transaction.hasWritten
      const ended = target.watch.noteSent()
      const result = await runRequest(connection, request, {
        mustSee: null,
        timeoutMs: until - now(),
        onSent () { if (isCommitOfWrites) writeEnded = writes.sent(now()) },
      })
      ended()
      writeEnded?.(result.kind === 'answered', now())
      target.lane.giveSlot()
      if (result.kind === 'answered') target.watch.noteAnswer()
      if (result.kind === 'lost') target.watch.hurry()
      const isBusy = result.kind === 'answered' && result.answer.error?.kind === 'busy' && result.answer.state === 'open'
      if (!isBusy || attempt >= MAX_ATTEMPTS) return result
      await new Promise((resolve) => setTimeout(resolve, BUSY_PAUSE_MS * attempt))
    }
  }

  async function outcomeOf (request: StatementRequest, result: RunResult, work: Work): Promise<StatementOutcome> {
    if (result.kind === 'notSent') return failed(request, statementFailure(promiseOf(result.error), 'not_sent', { text: result.text }))
    if (result.kind === 'lost') return failed(request, lostReply(request, result.why, work.hasWritten))
    return await answeredOutcome(request, result.answer, work)
  }

  /** Only an error that proves that nothing ran may reach the caller for a statement that was not sent. */
  function promiseOf (error: StatementErrorKind): StatementErrorKind {
    return FATE_OF_ERROR[error] === 'notRun' ? error : 'aborted'
  }

  /** A transaction whose COMMIT was not sent is rolled back with its connection; so is one that wrote nothing. */
  function lostReply (request: StatementRequest, why: string, hasWritten: boolean): StatementReply {
    const mayHaveCommitted = request.transaction === null ? !isReadRequest(request) : request.action.kind === 'commit' && hasWritten
    return mayHaveCommitted
      ? statementFailure('outcomeUnknown', `answer_${why}`)
      : statementFailure('aborted', `answer_${why}`)
  }

  async function answeredOutcome (request: StatementRequest, answer: TargetAnswer, work: Work): Promise<StatementOutcome> {
    const { error, state } = answer
    if (error !== null) {
      const reply = statementFailure(error.kind, `target_${error.kind}`, { text: error.text })
      return { reply, state: request.transaction === null ? 'idle' : state }
    }
    if (answer.signature === null) return failed(request, lostReply(request, 'unsigned', work.hasWritten))
    const makesLast = (request.transaction === null || request.action.kind === 'commit') && work.hasWritten
    if (makesLast && answer.position !== null && !(await context.acknowledge(work.term, answer.position))) {
      log('notAcknowledged', { database: context.database, id: request.id, term: work.term, viewTerm: context.view().term })
      return failed(request, statementFailure('outcomeUnknown', 'primary_replaced'))
    }
    const position = makesLast ? answer.position : null
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
      transaction.isForgotten = true
      return
    }
    transactions.remove(transaction.key)
    const { connection, target } = transaction
    const timer = setTimeout(() => connection.link.close(), ROLLBACK_TIMEOUT_MS)
    connection.link.run({ kind: 'rollback' })
      .then((answer) => { if (answer.state !== 'idle') connection.link.close() }, () => connection.link.close())
      .finally(() => {
        clearTimeout(timer)
        target.lane.give(connection)
      })
      .catch(() => {})
  }

  return {
    run,
    rollBack,
    stuckMs: () => writes.stuckMs(now()),
    isWriting: () => writes.isWaiting(),
    newWork: () => newWork,
  }
}

/** The furthest of several positions. */
export function furthest (positions: Iterable<LogPosition>): LogPosition {
  return [...positions].reduce(laterOf, ORIGIN)
}
