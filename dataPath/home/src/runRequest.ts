import { type LogPosition, type SessionValue, type StatementErrorKind, type StatementRequest } from '@briarpick/types'
import { createLogger } from '@briarpick/logs'
import { type StatementShape } from './createPreparedStatements.js'
import { hasSessionValues, type PooledConnection } from './createStatementTargetPool.js'
import { withTimeout } from './createTargetProber.js'
import { type TargetCommand, type TargetResponse } from './targetDriver.js'

/** Result of an attempt at a statement. `lost` means that it was sent and no complete response arrived. */
export type RunResult =
  | { readonly kind: 'answered', readonly answer: TargetResponse }
  | { readonly kind: 'notSent', readonly error: StatementErrorKind, readonly text: string }
  | { readonly kind: 'lost', readonly why: 'closed' | 'timeout' }

/** Maximum number of deallocations, each a round trip, before a statement outside an open transaction. */
const MAX_DEALLOCATIONS = 4
const log = createLogger('home')

/** Runs a request on a connection: first session values and prepared statements, then BEGIN, then the statement itself. */
export async function runRequest (
  connection: PooledConnection,
  request: StatementRequest,
  opts: { readonly mustSee: LogPosition | null, readonly timeoutMs: number, readonly onSent: () => void }
): Promise<RunResult> {
  const deadline = performance.now() + opts.timeoutMs
  for (const command of preparations(connection, request, opts.mustSee)) {
    const refusal = await runPreparation(connection, command, deadline)
    logPreparation(connection, request, { command, refusal })
    if (refusal !== undefined) return refusal
  }
  const mustSee = request.transaction === null ? opts.mustSee : null
  const command = statementCommand(connection, request, mustSee)
  if (command === undefined) {
    connection.link.close()
    return { kind: 'notSent', error: 'aborted', text: 'the statement is not prepared' }
  }
  opts.onSent()
  return await runStatement(connection, command, deadline)
}

/**
 * Commands before the statement, each decided once the earlier ones are recorded: a reset takes the prepared statements with it.
 */
function * preparations (connection: PooledConnection, request: StatementRequest, mustSee: LogPosition | null): Iterable<TargetCommand> {
  yield * valueCommands(connection, request.values)
  if (request.action.kind === 'execute') yield * shapeCommands(connection, request, request.action)
  if (request.begins !== null) yield { kind: 'begin', id: request.beginId ?? request.id, access: request.begins, mustSee }
}

/**
 * Prepares a statement unless it is prepared, after deallocating those for which there is no more room. Outside an open transaction a
 * reset takes the place of many deallocations.
 */
function * shapeCommands (connection: PooledConnection, request: StatementRequest, statement: StatementShape): Iterable<TargetCommand> {
  const { prepared } = connection
  const { access, shape } = statement
  if (prepared.nameOf(statement) !== undefined) return
  const names = prepared.namesToDeallocate(shape)
  const isInOpenTransaction = request.transaction !== null && request.begins === null
  if (names.length > MAX_DEALLOCATIONS && !isInOpenTransaction) {
    yield { kind: 'reset' }
    yield * valueCommands(connection, request.values)
  } else {
    for (const name of names) yield { kind: 'deallocate', name }
  }
  yield { kind: 'prepare', name: prepared.newName(), access, shape }
}

/** Resets the session if it has values that are not wanted; otherwise only sets those that differ. */
function valueCommands (connection: PooledConnection, wanted: readonly SessionValue[]): readonly TargetCommand[] {
  if (hasSessionValues(connection, wanted)) return []
  const names = new Set(wanted.map(([name]) => name))
  const mustReset = [...connection.values.keys()].some((name) => !names.has(name))
  const known = mustReset ? new Map<string, string>() : connection.values
  const sets = wanted
    .filter(([name, value]) => known.get(name) !== value)
    .map(([name, value]): TargetCommand => ({ kind: 'set', name, value }))
  return mustReset ? [{ kind: 'reset' }, ...sets] : sets
}

/** Runs a preparation command. If it fails, the connection is closed, unless BEGIN was rejected and no transaction is open. */
async function runPreparation (connection: PooledConnection, command: TargetCommand, deadline: number): Promise<RunResult | undefined> {
  const answer = await send(connection, command, deadline)
  if (answer === undefined || answer === 'closed') {
    connection.link.close()
    return { kind: 'notSent', error: 'aborted', text: `the target did not answer ${command.kind}` }
  }
  if (answer.error !== null) {
    if (command.kind !== 'begin' || answer.state !== 'idle') connection.link.close()
    return { kind: 'notSent', error: answer.error.kind, text: answer.error.text }
  }
  if (answer.signature === null || (command.kind === 'begin' && answer.state !== 'open')) {
    connection.link.close()
    return { kind: 'notSent', error: 'aborted', text: `the target did not complete ${command.kind}` }
  }
  recordPreparation(connection, command)
  return undefined
}

interface Preparation {
  readonly command: TargetCommand
  readonly refusal: RunResult | undefined
}

/** Logs what was prepared on which connection, and what was not: values and names there belong to the connection only. */
function logPreparation (connection: PooledConnection, { id, database }: StatementRequest, { command, refusal }: Preparation): void {
  const { number, instance } = connection
  const place = { id, database, instance, connection: number }
  if (refusal?.kind === 'notSent') {
    log('preparationFailed', { ...place, command: command.kind, reason: refusal.error, text: refusal.text })
  } else if (command.kind === 'prepare') {
    const { name, access, shape } = command
    log('statementPrepared', { ...place, name, access, shapeLength: shape.length })
  } else if (command.kind === 'reset') {
    log('connectionReset', place)
  }
}

function recordPreparation (connection: PooledConnection, command: TargetCommand): void {
  if (command.kind === 'reset') {
    connection.values = new Map()
    connection.prepared.clear()
  } else if (command.kind === 'set') {
    connection.values = new Map([...connection.values, [command.name, command.value]])
  } else if (command.kind === 'prepare') {
    connection.prepared.add(command.name, command)
  } else if (command.kind === 'deallocate') {
    connection.prepared.remove(command.name)
  }
}

async function runStatement (connection: PooledConnection, command: TargetCommand, deadline: number): Promise<RunResult> {
  const answer = await send(connection, command, deadline)
  if (answer === undefined || answer === 'closed') {
    connection.link.close()
    return { kind: 'lost', why: answer === undefined ? 'timeout' : 'closed' }
  }
  return { kind: 'answered', answer }
}

async function send (connection: PooledConnection, command: TargetCommand, deadline: number): Promise<TargetResponse | undefined | 'closed'> {
  const remainingMs = deadline - performance.now()
  if (remainingMs <= 0) return undefined
  // A broken connection is a normal result; the caller decides what follows from it.
  return await withTimeout(connection.link.run(command), remainingMs).catch(() => 'closed' as const)
}

/** Undefined if the statement is to be executed and is not prepared. */
function statementCommand (
  { prepared }: PooledConnection, { id, action }: StatementRequest, mustSee: LogPosition | null
): TargetCommand | undefined {
  if (action.kind === 'execute') {
    const name = prepared.nameOf(action)
    return name === undefined ? undefined : { kind: 'execute', id, name, args: action.args, mustSee }
  }
  switch (action.kind) {
    case 'query': return { kind: 'statement', id, text: action.text, mustSee: action.access === 'read' ? mustSee : null }
    case 'commit': return { kind: 'statement', id, text: action.text, mustSee: null }
    case 'rollback': return { kind: 'rollback' }
  }
}
