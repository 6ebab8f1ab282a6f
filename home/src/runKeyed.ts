import { BriarpickError } from '@briarpick/error'
import { groupStatements, type TargetConnection } from '@briarpick/pg-target'
import { writeQuery } from '@briarpick/pg-wire'
import { awaitDurable } from './awaitDurable.js'
import { type Answer, createAnswer } from './createAnswer.js'
import { type Grant } from './createDispatcher.js'
import { dispatchRequest, type HomeContext } from './homeContext.js'
import { type HomeReply, type HomeRequest, type ReplySink } from './homeTypes.js'
import { keyStatements, MAX_KEPT_ANSWER_BYTES } from './keyStatements.js'
import { keyReused, noPrimary, notDurable, notHome, outcomeUnknown } from './refusals.js'

/** A request with its idempotency key. */
export interface KeyedRequest extends HomeRequest {
  readonly key: string
  readonly keyDigest: string
}

/** How one attempt ended. */
type Attempt =
  | { readonly kind: 'ran', readonly answer: Answer }
  | { readonly kind: 'failed', readonly answer: Answer }
  | { readonly kind: 'known', readonly digest: string, readonly bytes: Buffer, readonly answer: Answer }
  | { readonly kind: 'again', readonly reason: string }
  | { readonly kind: 'readOnly' }

const UNDEFINED_TABLE = '42P01'
const SERIALIZATION_FAILURE = '40001'
const READ_ONLY_STATE = '25006'
const INSERTED = 'INSERT 0 1'
const STATUS_QUERY = writeQuery(groupStatements.status)
/** Wait before an attempt after a lost connection, in ms. */
const RETRY_PAUSE_MS = 50

/** Runs a write whose key commits with it, so that it runs at most once however often it is sent. */
export async function runKeyed (context: HomeContext, req: KeyedRequest, sink: ReplySink, deadline: number): Promise<HomeReply> {
  const { database, opts } = context
  let mayHaveRun = false
  context.retries.earn()
  for (;;) {
    if (context.durabilityOutlook() === 'lacking') throw afterDoubt(mayHaveRun, context, notDurable(database))
    const grant = await context.dispatcher.request(dispatchRequest(context, req, deadline))
      .catch((err) => { throw afterDoubt(mayHaveRun, context, err) })
    const { term } = context.view()
    let attempt: Attempt
    const timer = setTimeout(() => grant.connection.close(), Math.max(0, deadline - performance.now()))
    try {
      if (!context.mayAct()) throw notHome(database)
      attempt = await attemptOnce(grant.connection, req, sink, context)
      grant.done(false)
    } catch (err) {
      abandon(grant)
      if (err instanceof BriarpickError && err.isRefusal) throw afterDoubt(mayHaveRun, context, err)
      mayHaveRun = true
      attempt = { kind: 'again', reason: 'connection_lost' }
    } finally {
      clearTimeout(timer)
    }
    if (attempt.kind === 'readOnly') throw afterDoubt(mayHaveRun, context, noPrimary(database))
    if (attempt.kind !== 'again') return await conclude(context, req, sink, attempt, term, deadline)
    if (performance.now() + RETRY_PAUSE_MS > deadline || !context.retries.spend()) {
      throw outcomeUnknown(database, 'the connection to the primary was lost; sending it again with the same key is safe')
    }
    opts.metrics.count('retries', attempt.reason)
    await new Promise((resolve) => setTimeout(resolve, RETRY_PAUSE_MS))
  }
}

/** A refusal is only true if no earlier attempt may have run. */
function afterDoubt (mayHaveRun: boolean, context: HomeContext, err: BriarpickError): BriarpickError {
  return mayHaveRun ? outcomeUnknown(context.database, `an attempt was lost, then: ${err.message}; sending it again with the same key is safe`) : err
}

function abandon (grant: Grant): void {
  grant.connection.close()
  grant.done(false)
}

async function ask (connection: TargetConnection, bytes: Buffer, readyCount: number): Promise<Answer> {
  const answer = createAnswer({ dropParseComplete: [], sink: () => undefined, mayPass: () => true, holdBytes: Infinity })
  await connection.exchange(bytes, readyCount, answer.push)
  return answer
}

async function askText (connection: TargetConnection, text: string): Promise<Answer> {
  return await ask(connection, writeQuery(text), 1)
}

async function attemptOnce (connection: TargetConnection, req: KeyedRequest, sink: ReplySink, context: HomeContext): Promise<Attempt> {
  const claim = await askText(connection, keyStatements.claim(req.key, req.keyDigest))
  const claimError = claim.error()?.sqlState
  if (claimError !== undefined) return await afterFailedClaim(connection, claimError)
  if (claim.tags().at(-1) !== INSERTED) return await lookUp(connection, req)

  const answer = createAnswer({ dropParseComplete: req.dropParseComplete, sink, mayPass: context.mayAct, holdBytes: Infinity })
  await connection.exchange(req.bytes, 1, answer.push)
  if (answer.error() !== undefined) {
    await askText(connection, keyStatements.rollback)
    return { kind: 'failed', answer }
  }
  const whole = answer.held()
  const kept = (whole.length <= MAX_KEPT_ANSWER_BYTES ? whole : answer.heldWithoutRows()).toString('base64')
  const finish = await ask(connection, Buffer.concat([writeQuery(keyStatements.finish(req.key, kept)), STATUS_QUERY]), 2)
  const finishError = finish.error()
  if (finishError === undefined) return { kind: 'ran', answer: withStatusOf(answer, finish) }
  await askText(connection, keyStatements.rollback)
  if (finishError.sqlState === SERIALIZATION_FAILURE) return { kind: 'again', reason: 'serialization_failure' }
  return finishError.sqlState === READ_ONLY_STATE ? { kind: 'readOnly' } : { kind: 'again', reason: 'commit_failed' }
}

async function afterFailedClaim (connection: TargetConnection, sqlState: string): Promise<Attempt> {
  await askText(connection, keyStatements.rollback)
  if (sqlState === READ_ONLY_STATE) return { kind: 'readOnly' }
  if (sqlState === UNDEFINED_TABLE) await askText(connection, keyStatements.createTable)
  return { kind: 'again', reason: sqlState === UNDEFINED_TABLE ? 'key_table_missing' : 'claim_failed' }
}

async function lookUp (connection: TargetConnection, req: KeyedRequest): Promise<Attempt> {
  await askText(connection, keyStatements.rollback)
  const rows = await connection.query(keyStatements.lookUp(req.key), Math.max(1, req.deadlineMs))
  const status = await ask(connection, Buffer.concat([writeQuery(keyStatements.rollback), STATUS_QUERY]), 2)
  if (rows.length === 0) return { kind: 'again', reason: 'key_in_flight' }
  const [digest, answer] = rows[0]
  return { kind: 'known', digest: digest ?? '', bytes: Buffer.from(answer ?? '', 'base64'), answer: status }
}

function withStatusOf (answer: Answer, finish: Answer): Answer {
  return { ...answer, status: () => 'I', groupStatus: finish.groupStatus }
}

type Conclusion = Exclude<Attempt, { readonly kind: 'again' | 'readOnly' }>

async function conclude (
  context: HomeContext,
  req: KeyedRequest,
  sink: ReplySink,
  attempt: Conclusion,
  term: number,
  deadline: number
): Promise<HomeReply> {
  const { opts, database } = context
  if (attempt.kind === 'failed') {
    if (!attempt.answer.pass()) throw notHome(database)
    return { kind: 'done', status: 'I', servedBy: 'primary' }
  }
  if (attempt.kind === 'known' && attempt.digest !== req.keyDigest) throw keyReused(req.key)
  const position = await awaitDurable(context, attempt.answer.groupStatus(), term, deadline)
  context.watermarks.note(req.consistency.session, position)
  if (!context.mayAct()) throw outcomeUnknown(database, 'the lease of this proxy ran out; sending it again with the same key is safe')
  if (attempt.kind === 'known') sink(attempt.bytes)?.catch(() => {})
  else attempt.answer.pass()
  opts.metrics.count('writes', attempt.kind === 'known' ? 'key_known' : 'acknowledged')
  return { kind: 'done', status: 'I', servedBy: attempt.kind === 'known' ? 'key' : 'primary', token: position }
}
