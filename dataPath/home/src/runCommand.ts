import { type LogPosition, type SessionValue, type StatementErrorKind, type StatementRequest } from '@briarpick/types'
import { hasValues, type LaneConnection } from './createLane.js'
import { withTimeout } from './createTargetWatch.js'
import { type TargetAnswer, type TargetCommand } from './targetDriver.js'

/** How far a statement got. `lost` says that it was sent and no whole answer came. */
export type RunResult =
  | { readonly kind: 'answered', readonly answer: TargetAnswer }
  | { readonly kind: 'notSent', readonly error: StatementErrorKind, readonly text: string }
  | { readonly kind: 'lost', readonly why: 'closed' | 'timeout' }

/** Runs a request on a connection: session values and names first, then BEGIN, then the statement itself. */
export async function runRequest (
  connection: LaneConnection,
  request: StatementRequest,
  opts: { readonly mustSee: LogPosition | null, readonly timeoutMs: number, readonly onSent: () => void }
): Promise<RunResult> {
  const until = performance.now() + opts.timeoutMs
  for (const command of preparations(connection, request, opts.mustSee)) {
    const refusal = await runOwn(connection, command, until)
    if (refusal !== undefined) return refusal
  }
  opts.onSent()
  const mustSee = request.transaction === null ? opts.mustSee : null
  return await runFinal(connection, finalCommand(request, mustSee), until)
}

/** Name of a prepared statement on a connection; one for each shape, shared by all callers. */
function sharedName (access: string, shape: string): string {
  return `${access === 'write' ? 'w' : 'r'}_${shape}`
}

function preparations (connection: LaneConnection, request: StatementRequest, mustSee: LogPosition | null): readonly TargetCommand[] {
  const commands: TargetCommand[] = [...valueCommands(connection, request.values)]
  const isReset = commands.some(({ kind }) => kind === 'reset')
  const { action } = request
  if (action.kind === 'execute') {
    const name = sharedName(action.access, action.shape)
    if (isReset || !connection.prepared.has(name)) commands.push({ kind: 'prepare', name, access: action.access, shape: action.shape })
  }
  if (request.begins !== null) commands.push({ kind: 'begin', id: request.beginId ?? request.id, access: request.begins, mustSee })
  return commands
}

/** Values of another caller are cleared; values that are only missing are added. */
function valueCommands (connection: LaneConnection, wanted: readonly SessionValue[]): readonly TargetCommand[] {
  if (hasValues(connection, wanted)) return []
  const names = new Set(wanted.map(([name]) => name))
  const mustReset = [...connection.values.keys()].some((name) => !names.has(name))
  const known = mustReset ? new Map<string, string>() : connection.values
  const sets = wanted
    .filter(([name, value]) => known.get(name) !== value)
    .map(([name, value]): TargetCommand => ({ kind: 'set', name, value }))
  return mustReset ? [{ kind: 'reset' }, ...sets] : sets
}

/** Runs one of the home's own commands; a connection on which one fails is not used again. */
async function runOwn (connection: LaneConnection, command: TargetCommand, until: number): Promise<RunResult | undefined> {
  const answer = await send(connection, command, until)
  if (answer === undefined || answer === 'closed') {
    connection.link.close()
    return { kind: 'notSent', error: 'aborted', text: `the target did not answer ${command.kind}` }
  }
  if (answer.error !== null) {
    if (command.kind !== 'begin' || answer.state !== 'idle') connection.link.close()
    return { kind: 'notSent', error: answer.error.kind, text: answer.error.text }
  }
  noteOwn(connection, command)
  return undefined
}

function noteOwn (connection: LaneConnection, command: TargetCommand): void {
  if (command.kind === 'reset') {
    connection.values = new Map()
    connection.prepared.clear()
  } else if (command.kind === 'set') {
    connection.values = new Map([...connection.values, [command.name, command.value]])
  } else if (command.kind === 'prepare') {
    connection.prepared.add(command.name)
  }
}

async function runFinal (connection: LaneConnection, command: TargetCommand, until: number): Promise<RunResult> {
  const answer = await send(connection, command, until)
  if (answer === undefined || answer === 'closed') {
    connection.link.close()
    return { kind: 'lost', why: answer === undefined ? 'timeout' : 'closed' }
  }
  return { kind: 'answered', answer }
}

async function send (connection: LaneConnection, command: TargetCommand, until: number): Promise<TargetAnswer | undefined | 'closed'> {
  const left = until - performance.now()
  if (left <= 0) return undefined
  // A connection that breaks is an outcome here, decided on by the caller of this function.
  return await withTimeout(connection.link.run(command), left).catch(() => 'closed' as const)
}

function finalCommand ({ id, action }: StatementRequest, mustSee: LogPosition | null): TargetCommand {
  switch (action.kind) {
    case 'execute': return { kind: 'execute', id, name: sharedName(action.access, action.shape), args: action.args, mustSee }
    case 'query': return { kind: 'statement', id, text: action.text, mustSee: action.access === 'read' ? mustSee : null }
    case 'commit': return { kind: 'statement', id, text: action.text, mustSee: null }
    case 'rollback': return { kind: 'rollback' }
  }
}
