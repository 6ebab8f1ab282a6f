import { type LogPosition } from '@briarpick/types'
import { BriarpickError, toErrorData } from '@briarpick/error'
import { groupStatements, type TargetConnection } from '@briarpick/pg-target'
import { type TransactionStatus, writeQuery } from '@briarpick/pg-wire'
import { createResponseBuffer, type ResponseBuffer } from './createResponseBuffer.js'
import { type Grant } from './createDispatcher.js'
import { type Target } from './createTargetSet.js'
import { type HomeContext, toDispatchRequest } from './homeContext.js'
import { type HomeReply, type HomeRequest, type HomeSession, type ReplySink, type ServedBy } from './homeTypes.js'
import { deadlinePassed, draining, noPrimary, notDurable, notHome, outcomeUnknown, transactionLost } from './homeErrors.js'
import { runKeyed } from './runKeyed.js'
import { awaitDurable } from './awaitDurable.js'

/** The connection of an open transaction. */
interface Pinned {
  readonly target: Target
  readonly connection: TargetConnection
  readonly isPrimary: boolean
  readonly term: number
}

/** Bytes of a read's response that are buffered before the lease is checked and forwarding starts. */
const READ_BUFFER_BYTES = 64 * 1024
const STATUS_QUERY = writeQuery(groupStatements.status)
/** SQLSTATE read_only_sql_transaction: the target is not the primary. */
const READ_ONLY_SQLSTATE = '25006'

/** Creates a session without an open transaction. */
export function createSession (context: HomeContext, onClose: () => void): HomeSession & { isBusy: () => boolean } {
  const { database, opts } = context
  let pinned: Pinned | undefined
  let activeConnection: TargetConnection | undefined
  let busy = false
  let closed = false

  const status = (): TransactionStatus => pinned === undefined ? 'I' : 'T'

  /** Releases the slot; keeps the connection if a transaction is open on it. */
  function releaseGrant (grant: Grant, response: ResponseBuffer): void {
    const isOpen = response.status() !== undefined && response.status() !== 'I'
    grant.release(isOpen)
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

  function reply (response: ResponseBuffer, servedBy: ServedBy, token?: LogPosition): HomeReply {
    return { kind: 'done', status: response.status() ?? 'I', servedBy, token }
  }

  /** Runs an exchange; closes the connection at the deadline, since the response may still arrive. */
  async function exchange (
    connection: TargetConnection,
    bytes: Buffer,
    readyCount: number,
    response: ResponseBuffer,
    deadline: number
  ): Promise<void> {
    activeConnection = connection
    const timer = setTimeout(() => connection.close(), Math.max(0, deadline - performance.now()))
    try {
      await connection.exchange(bytes, readyCount, response.push)
    } finally {
      clearTimeout(timer)
      activeConnection = undefined
    }
  }

  async function runRead (req: HomeRequest, sink: ReplySink, deadline: number): Promise<HomeReply> {
    context.retries.deposit()
    for (;;) {
      const grant = await context.dispatcher.request(toDispatchRequest(context, req, deadline))
      const response = createResponseBuffer({
        dropParseComplete: req.dropParseComplete,
        sink,
        mayForward: context.isActive,
        bufferBytes: READ_BUFFER_BYTES,
      })
      try {
        await exchange(grant.connection, req.bytes, 1, response, deadline)
      } catch (err) {
        releaseGrant(grant, response)
        if (performance.now() >= deadline) throw deadlinePassed(database)
        if (response.hasForwarded() || !context.retries.tryWithdraw()) throw err
        opts.metrics.count('retries', 'connection_lost')
        continue
      }
      releaseGrant(grant, response)
      if (!response.forward()) throw notHome(database)
      const servedBy = grant.isPrimary ? 'primary' : 'replica'
      opts.metrics.count('reads', servedBy)
      return reply(response, servedBy)
    }
  }

  async function runWrite (req: HomeRequest, sink: ReplySink, deadline: number): Promise<HomeReply> {
    if (context.replicaAvailability() === 'missing') throw notDurable(database)
    const grant = await context.dispatcher.request(toDispatchRequest(context, req, deadline))
    if (!context.isActive()) {
      grant.release(false)
      throw notHome(database)
    }
    const { term } = context.view()
    const response = createFullBuffer(req, sink)
    try {
      await exchange(grant.connection, Buffer.concat([req.bytes, STATUS_QUERY]), 2, response, deadline)
    } catch {
      releaseGrant(grant, response)
      throw outcomeUnknown(database, 'the connection to the primary was lost')
    }
    releaseGrant(grant, response)
    const isOneTransaction = req.transaction === 'none'
    if (isOneTransaction && response.error()?.sqlState === READ_ONLY_SQLSTATE) throw noPrimary(database)
    return await finishWrite(response, req, term, deadline)
  }

  function createFullBuffer (req: HomeRequest, sink: ReplySink): ResponseBuffer {
    return createResponseBuffer({ dropParseComplete: req.dropParseComplete, sink, mayForward: context.isActive, bufferBytes: Infinity })
  }

  /** Acknowledges a write once it is durable, and only if the term in which it ran is still current. */
  async function finishWrite (response: ResponseBuffer, req: HomeRequest, term: number, deadline: number): Promise<HomeReply> {
    if (response.status() !== 'I') {
      if (!response.forward()) throw transactionLost(database)
      return reply(response, 'primary')
    }
    const position = await awaitDurable(context, response.groupStatus(), term, deadline)
    context.watermarks.record(req.consistency.session, position)
    if (!response.forward()) throw outcomeUnknown(database, 'the lease of this proxy expired')
    opts.metrics.count('writes', 'acknowledged')
    return reply(response, 'primary', position)
  }

  async function runPinned (open: Pinned, req: HomeRequest, sink: ReplySink, deadline: number): Promise<HomeReply> {
    if (!context.isActive() || !open.connection.isOpen() || (open.isPrimary && open.term !== context.view().term)) {
      dropPinned()
      throw transactionLost(database)
    }
    const ends = open.isPrimary && req.transaction === 'ends'
    const response = ends
      ? createFullBuffer(req, sink)
      : createResponseBuffer({
        dropParseComplete: req.dropParseComplete,
        sink,
        mayForward: context.isActive,
        bufferBytes: READ_BUFFER_BYTES,
      })
    await open.target.pool.acquireSlot()
    try {
      await exchange(open.connection, ends ? Buffer.concat([req.bytes, STATUS_QUERY]) : req.bytes, ends ? 2 : 1, response, deadline)
    } catch {
      dropPinned()
      throw ends ? outcomeUnknown(database, 'the connection to the primary was lost at the end of the transaction') : transactionLost(database)
    } finally {
      open.target.pool.releaseSlot()
    }
    if (response.status() === 'I') {
      pinned = undefined
      open.target.pool.release(open.connection)
    }
    if (ends) return await finishWrite(response, req, open.term, deadline)
    if (!response.forward()) throw transactionLost(database)
    return reply(response, open.isPrimary ? 'primary' : 'replica')
  }

  async function runUnpinned (req: HomeRequest, sink: ReplySink, deadline: number): Promise<HomeReply> {
    if (context.isReleasing()) throw draining(database)
    if (!context.isActive()) throw notHome(database)
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
      return await (pinned === undefined ? runUnpinned(req, sink, deadline) : runPinned(pinned, req, sink, deadline))
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
    cancel: () => activeConnection?.cancel(),
    isBusy: () => busy || pinned !== undefined,
    close () {
      if (closed) return
      closed = true
      if (activeConnection === undefined) dropPinned()
      onClose()
    },
  }
}
