import { BriarpickError } from '@briarpick/error'
import { groupStatements, type TargetConnection } from '@briarpick/pg-target'
import { writeQuery } from '@briarpick/pg-wire'
import { awaitDurable } from './awaitDurable.js'
import { createResponseBuffer, type ResponseBuffer } from './createResponseBuffer.js'
import { type Grant } from './createDispatcher.js'
import { type HomeContext, toDispatchRequest } from './homeContext.js'
import { type HomeReply, type HomeRequest, type ReplySink } from './homeTypes.js'
import { keyStatements, MAX_STORED_RESPONSE_BYTES } from './keyStatements.js'
import { keyReused, noPrimary, notDurable, notHome, outcomeUnknown } from './homeErrors.js'

/** A request with an idempotency key. */
export interface KeyedRequest extends HomeRequest {
  readonly key: string
  readonly keyDigest: string
}

/** Result of one attempt; `known` means that the key was already committed, with the response of that run. */
type Attempt =
  | { readonly kind: 'ran', readonly response: ResponseBuffer }
  | { readonly kind: 'failed', readonly response: ResponseBuffer }
  | { readonly kind: 'known', readonly digest: string, readonly bytes: Buffer, readonly response: ResponseBuffer }
  | { readonly kind: 'retry', readonly reason: string }
  | { readonly kind: 'readOnly' }

const UNDEFINED_TABLE = '42P01'
const SERIALIZATION_FAILURE = '40001'
const READ_ONLY_SQLSTATE = '25006'
const INSERTED_TAG = 'INSERT 0 1'
const STATUS_QUERY = writeQuery(groupStatements.status)
/** Delay before a retry, in ms. */
const RETRY_DELAY_MS = 50

/** Runs a write in one transaction with its idempotency key, so that it is executed at most once however often it is sent. */
export async function runKeyed (context: HomeContext, req: KeyedRequest, sink: ReplySink, deadline: number): Promise<HomeReply> {
  const { database, opts } = context
  let mayHaveRun = false
  context.retries.deposit()
  for (;;) {
    if (context.replicaAvailability() === 'missing') throw errorAfterAttempt(mayHaveRun, context, notDurable(database))
    const grant = await context.dispatcher.request(toDispatchRequest(context, req, deadline))
      .catch((err) => { throw errorAfterAttempt(mayHaveRun, context, err) })
    const { term } = context.view()
    let attempt: Attempt
    const timer = setTimeout(() => grant.connection.close(), Math.max(0, deadline - performance.now()))
    try {
      if (!context.isActive()) throw notHome(database)
      attempt = await attemptOnce(grant.connection, req, sink, context)
      grant.release(false)
    } catch (err) {
      discard(grant)
      if (err instanceof BriarpickError && err.isRefusal) throw errorAfterAttempt(mayHaveRun, context, err)
      mayHaveRun = true
      attempt = { kind: 'retry', reason: 'connection_lost' }
    } finally {
      clearTimeout(timer)
    }
    if (attempt.kind === 'readOnly') throw errorAfterAttempt(mayHaveRun, context, noPrimary(database))
    if (attempt.kind !== 'retry') return await finishAttempt(context, req, sink, attempt, term, deadline)
    if (performance.now() + RETRY_DELAY_MS > deadline || !context.retries.tryWithdraw()) {
      throw outcomeUnknown(database, 'the connection to the primary was lost; resending it with the same briarpick_key is safe')
    }
    opts.metrics.count('retries', attempt.reason)
    await new Promise((resolve) => setTimeout(resolve, RETRY_DELAY_MS))
  }
}

/** Returns a refusal only if no earlier attempt may have run; otherwise the outcome is unknown. */
function errorAfterAttempt (mayHaveRun: boolean, context: HomeContext, err: BriarpickError): BriarpickError {
  return mayHaveRun ? outcomeUnknown(context.database, `an earlier attempt may have committed, and a retry failed: ${err.message}; resending it with the same briarpick_key is safe`) : err
}

function discard (grant: Grant): void {
  grant.connection.close()
  grant.release(false)
}

async function exchangeBuffered (connection: TargetConnection, bytes: Buffer, readyCount: number): Promise<ResponseBuffer> {
  const response = createResponseBuffer({ dropParseComplete: [], sink: () => undefined, mayForward: () => true, bufferBytes: Infinity })
  await connection.exchange(bytes, readyCount, response.push)
  return response
}

async function exchangeText (connection: TargetConnection, text: string): Promise<ResponseBuffer> {
  return await exchangeBuffered(connection, writeQuery(text), 1)
}

async function attemptOnce (connection: TargetConnection, req: KeyedRequest, sink: ReplySink, context: HomeContext): Promise<Attempt> {
  const claim = await exchangeText(connection, keyStatements.claim(req.key, req.keyDigest))
  const claimError = claim.error()?.sqlState
  if (claimError !== undefined) return await handleFailedClaim(connection, claimError)
  if (claim.commandTags().at(-1) !== INSERTED_TAG) return await lookUp(connection, req)

  const response = createResponseBuffer({
    dropParseComplete: req.dropParseComplete,
    sink,
    mayForward: context.isActive,
    bufferBytes: Infinity,
  })
  await connection.exchange(req.bytes, 1, response.push)
  if (response.error() !== undefined) {
    await exchangeText(connection, keyStatements.rollback)
    return { kind: 'failed', response }
  }
  const responseBytes = response.buffered()
  const stored = (responseBytes.length <= MAX_STORED_RESPONSE_BYTES ? responseBytes : response.bufferedWithoutRows()).toString('base64')
  const finish = await exchangeBuffered(
    connection,
    Buffer.concat([writeQuery(keyStatements.storeAndCommit(req.key, stored)), STATUS_QUERY]),
    2
  )
  const finishError = finish.error()
  if (finishError === undefined) return { kind: 'ran', response: withStatusOf(response, finish) }
  await exchangeText(connection, keyStatements.rollback)
  if (finishError.sqlState === SERIALIZATION_FAILURE) return { kind: 'retry', reason: 'serialization_failure' }
  return finishError.sqlState === READ_ONLY_SQLSTATE ? { kind: 'readOnly' } : { kind: 'retry', reason: 'commit_failed' }
}

async function handleFailedClaim (connection: TargetConnection, sqlState: string): Promise<Attempt> {
  await exchangeText(connection, keyStatements.rollback)
  if (sqlState === READ_ONLY_SQLSTATE) return { kind: 'readOnly' }
  if (sqlState === UNDEFINED_TABLE) await exchangeText(connection, keyStatements.createTable)
  return { kind: 'retry', reason: sqlState === UNDEFINED_TABLE ? 'key_table_missing' : 'claim_failed' }
}

async function lookUp (connection: TargetConnection, req: KeyedRequest): Promise<Attempt> {
  await exchangeText(connection, keyStatements.rollback)
  const rows = await connection.query(keyStatements.lookUp(req.key), Math.max(1, req.deadlineMs))
  const status = await exchangeBuffered(connection, Buffer.concat([writeQuery(keyStatements.rollback), STATUS_QUERY]), 2)
  if (rows.length === 0) return { kind: 'retry', reason: 'key_in_flight' }
  const [digest, storedResponse] = rows[0]
  return { kind: 'known', digest: digest ?? '', bytes: Buffer.from(storedResponse ?? '', 'base64'), response: status }
}

function withStatusOf (response: ResponseBuffer, finish: ResponseBuffer): ResponseBuffer {
  return { ...response, status: () => 'I', groupStatus: finish.groupStatus }
}

type FinalAttempt = Exclude<Attempt, { readonly kind: 'retry' | 'readOnly' }>

async function finishAttempt (
  context: HomeContext,
  req: KeyedRequest,
  sink: ReplySink,
  attempt: FinalAttempt,
  term: number,
  deadline: number
): Promise<HomeReply> {
  const { opts, database } = context
  if (attempt.kind === 'failed') {
    if (!attempt.response.forward()) throw notHome(database)
    return { kind: 'done', status: 'I', servedBy: 'primary' }
  }
  if (attempt.kind === 'known' && attempt.digest !== req.keyDigest) throw keyReused(req.key)
  const position = await awaitDurable(context, attempt.response.groupStatus(), term, deadline)
  context.watermarks.record(req.consistency.session, position)
  if (!context.isActive()) throw outcomeUnknown(database, 'the lease of this proxy expired; resending it with the same briarpick_key is safe')
  if (attempt.kind === 'known') sink(attempt.bytes)?.catch(() => {})
  else attempt.response.forward()
  opts.metrics.count('writes', attempt.kind === 'known' ? 'key_known' : 'acknowledged')
  return { kind: 'done', status: 'I', servedBy: attempt.kind === 'known' ? 'key' : 'primary', token: position }
}
