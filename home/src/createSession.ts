import { type LogPosition } from '@briarpick/types'
import { BriarpickError, toErrorData } from '@briarpick/error'
import { groupStatements, type TargetConnection } from '@briarpick/pg-target'
import { type TransactionStatus, writeQuery } from '@briarpick/pg-wire'
import { type Answer, createAnswer } from './createAnswer.js'
import { type Grant } from './createDispatcher.js'
import { type Target } from './createTargetSet.js'
import { dispatchRequest, type HomeContext } from './homeContext.js'
import { type HomeReply, type HomeRequest, type HomeSession, type ReplySink, type ServedBy } from './homeTypes.js'
import { deadlinePassed, draining, noPrimary, notDurable, notHome, outcomeUnknown, transactionLost } from './refusals.js'
import { runKeyed } from './runKeyed.js'
import { awaitDurable } from './awaitDurable.js'

/** An open transaction's connection. */
interface Pinned {
  readonly target: Target
  readonly connection: TargetConnection
  readonly isPrimary: boolean
  readonly term: number
}

/** Bytes of a read's answer that are held until the lease was checked. */
const READ_HOLD_BYTES = 64 * 1024
const STATUS_QUERY = writeQuery(groupStatements.status)
/** SQLSTATE of a target that takes no writes. */
const READ_ONLY_STATE = '25006'

/** Creates a session without an open transaction. */
export function createSession (context: HomeContext, onClose: () => void): HomeSession & { isBusy: () => boolean } {
  const { database, opts } = context
  let pinned: Pinned | undefined
  let working: TargetConnection | undefined
  let busy = false
  let closed = false

  const status = (): TransactionStatus => pinned === undefined ? 'I' : 'T'

  /** Keeps the connection if a transaction is open on it. */
  function settle (grant: Grant, answer: Answer): void {
    const isOpen = answer.status() !== undefined && answer.status() !== 'I'
    grant.done(isOpen)
    if (!isOpen) return
    pinned = { target: grant.target, connection: grant.connection, isPrimary: grant.isPrimary, term: context.view().term }
    if (closed) dropPinned()
  }

  function dropPinned (): void {
    if (pinned === undefined) return
    const { connection, target } = pinned
    pinned = undefined
    connection.close()
    target.pool.release(connection)
  }

  function reply (answer: Answer, servedBy: ServedBy, token?: LogPosition): HomeReply {
    return { kind: 'done', status: answer.status() ?? 'I', servedBy, token }
  }

  /** Runs an exchange; at the deadline the connection is closed, since its answer may still come. */
  async function exchange (
    connection: TargetConnection,
    bytes: Buffer,
    readyCount: number,
    answer: Answer,
    deadline: number
  ): Promise<void> {
    working = connection
    const timer = setTimeout(() => connection.close(), Math.max(0, deadline - performance.now()))
    try {
      await connection.exchange(bytes, readyCount, answer.push)
    } finally {
      clearTimeout(timer)
      working = undefined
    }
  }

  async function runRead (req: HomeRequest, sink: ReplySink, deadline: number): Promise<HomeReply> {
    context.retries.earn()
    for (;;) {
      const grant = await context.dispatcher.request(dispatchRequest(context, req, deadline))
      const answer = createAnswer({ dropParseComplete: req.dropParseComplete, sink, mayPass: context.mayAct, holdBytes: READ_HOLD_BYTES })
      try {
        await exchange(grant.connection, req.bytes, 1, answer, deadline)
      } catch (err) {
        settle(grant, answer)
        if (performance.now() >= deadline) throw deadlinePassed(database)
        if (answer.hasPassed() || !context.retries.spend()) throw err
        opts.metrics.count('retries', 'connection_lost')
        continue
      }
      settle(grant, answer)
      if (!answer.pass()) throw notHome(database)
      const servedBy = grant.isPrimary ? 'primary' : 'replica'
      opts.metrics.count('reads', servedBy)
      return reply(answer, servedBy)
    }
  }

  async function runWrite (req: HomeRequest, sink: ReplySink, deadline: number): Promise<HomeReply> {
    if (context.durabilityOutlook() === 'lacking') throw notDurable(database)
    const grant = await context.dispatcher.request(dispatchRequest(context, req, deadline))
    if (!context.mayAct()) {
      grant.done(false)
      throw notHome(database)
    }
    const { term } = context.view()
    const answer = heldAnswer(req, sink)
    try {
      await exchange(grant.connection, Buffer.concat([req.bytes, STATUS_QUERY]), 2, answer, deadline)
    } catch {
      settle(grant, answer)
      throw outcomeUnknown(database, 'the connection to the primary was lost')
    }
    settle(grant, answer)
    const isOneTransaction = req.transaction === 'none'
    if (isOneTransaction && answer.error()?.sqlState === READ_ONLY_STATE) throw noPrimary(database)
    return await finishWrite(answer, req, term, deadline)
  }

  function heldAnswer (req: HomeRequest, sink: ReplySink): Answer {
    return createAnswer({ dropParseComplete: req.dropParseComplete, sink, mayPass: context.mayAct, holdBytes: Infinity })
  }

  /** Acknowledges a write once it is durable, and only under the term that it ran in. */
  async function finishWrite (answer: Answer, req: HomeRequest, term: number, deadline: number): Promise<HomeReply> {
    if (answer.status() !== 'I') {
      if (!answer.pass()) throw transactionLost(database)
      return reply(answer, 'primary')
    }
    const position = await awaitDurable(context, answer.groupStatus(), term, deadline)
    context.watermarks.note(req.consistency.session, position)
    if (!answer.pass()) throw outcomeUnknown(database, 'the lease of this proxy ran out')
    opts.metrics.count('writes', 'acknowledged')
    return reply(answer, 'primary', position)
  }

  async function runPinned (open: Pinned, req: HomeRequest, sink: ReplySink, deadline: number): Promise<HomeReply> {
    if (!context.mayAct() || !open.connection.isOpen() || (open.isPrimary && open.term !== context.view().term)) {
      dropPinned()
      throw transactionLost(database)
    }
    const ends = open.isPrimary && req.transaction === 'ends'
    const answer = ends
      ? heldAnswer(req, sink)
      : createAnswer({ dropParseComplete: req.dropParseComplete, sink, mayPass: context.mayAct, holdBytes: READ_HOLD_BYTES })
    await open.target.pool.acquireSlot()
    try {
      await exchange(open.connection, ends ? Buffer.concat([req.bytes, STATUS_QUERY]) : req.bytes, ends ? 2 : 1, answer, deadline)
    } catch {
      dropPinned()
      throw ends ? outcomeUnknown(database, 'the connection to the primary was lost at the end of the transaction') : transactionLost(database)
    } finally {
      open.target.pool.releaseSlot()
    }
    if (answer.status() === 'I') {
      pinned = undefined
      open.target.pool.release(open.connection)
    }
    if (ends) return await finishWrite(answer, req, open.term, deadline)
    if (!answer.pass()) throw transactionLost(database)
    return reply(answer, open.isPrimary ? 'primary' : 'replica')
  }

  async function runFree (req: HomeRequest, sink: ReplySink, deadline: number): Promise<HomeReply> {
    if (context.isReleasing()) throw draining(database)
    if (!context.mayAct()) throw notHome(database)
    if (req.access === 'read') return await runRead(req, sink, deadline)
    if (req.key !== undefined && req.transaction === 'none') {
      return await runKeyed(context, { ...req, key: req.key, keyDigest: req.keyDigest ?? '' }, sink, deadline)
    }
    return await runWrite(req, sink, deadline)
  }

  async function run (req: HomeRequest, sink: ReplySink): Promise<HomeReply> {
    const deadline = performance.now() + req.deadlineMs
    busy = true
    try {
      return await (pinned === undefined ? runFree(req, sink, deadline) : runPinned(pinned, req, sink, deadline))
    } catch (err) {
      countFailure(err)
      return { kind: 'failed', status: status(), error: toErrorData(err) }
    } finally {
      busy = false
    }
  }

  function countFailure (err: unknown): void {
    const code = err instanceof BriarpickError ? err.code : 'ERR_BRIARPICK_RPC'
    const isRefusal = err instanceof BriarpickError && err.isRefusal
    opts.metrics.count(isRefusal ? 'refusals' : 'unknown_outcomes', code)
  }

  return {
    run,
    cancel: () => working?.cancel(),
    isBusy: () => busy || pinned !== undefined,
    close () {
      if (closed) return
      closed = true
      if (working === undefined) dropPinned()
      onClose()
    },
  }
}
