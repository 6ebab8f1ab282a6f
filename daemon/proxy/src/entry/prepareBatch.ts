import { createHash } from 'node:crypto'
import { BriarpickError } from '@briarpick/error'
import { type TransactionUse } from '@briarpick/home'
import { type CallerBatch } from '@briarpick/pg-caller'
import {
  BackendCode,
  type Frame,
  FrontendCode,
  readBind,
  readExecutePortal,
  readNamed,
  readParse,
  readQuery,
  writeBare,
  writeBind,
  writeCommandComplete,
  writeNamed,
  writeParse,
} from '@briarpick/pg-wire'
import { classifyStatements, readComment, readOption, type RequestOptions, type StatementClass, type StatementKind } from '@briarpick/statement'
import { type CallerState, MAX_STATEMENTS, type PreparedStatement } from './callerState.js'

/** A batch that a home has to run. */
export interface RemoteBatch {
  readonly kind: 'remote'
  readonly bytes: Buffer
  readonly dropParseComplete: readonly number[]
  readonly access: 'read' | 'write'
  readonly transaction: TransactionUse
  readonly options: RequestOptions
  /** Digest of texts and values; only if there is an idempotency key. */
  readonly digest?: string
}

/** A batch that the entry answers by itself. */
export interface LocalBatch {
  readonly kind: 'local'
  readonly answer: Buffer
}

/** Name of the statement that targets replace with each Parse. */
const UNNAMED = ''
const SYNC = writeBare(FrontendCode.sync)
const LOCAL_KINDS: ReadonlySet<StatementKind> = new Set(['setOption', 'noEffect'])

/** Works out what a batch does, and rewrites it so that it leaves nothing behind on a shared connection. */
export function prepareBatch (batch: CallerBatch, state: CallerState): RemoteBatch | LocalBatch {
  return batch.kind === 'simple' ? prepareSimple(batch.frames[0], state) : prepareExtended(batch, state)
}

function prepareSimple (frame: Frame, state: CallerState): RemoteBatch | LocalBatch {
  const { text, options } = readComment(readQuery(frame))
  const classes = classifyStatements(text)
  if (classes.length > 0 && classes.every(({ kind }) => LOCAL_KINDS.has(kind))) {
    for (const { option } of classes) setOption(state, option)
    return { kind: 'local', answer: Buffer.concat(classes.map(() => writeCommandComplete('SET'))) }
  }
  refuseMixed(classes)
  const merged = { ...state.options, ...options }
  return remote({ bytes: frame, dropParseComplete: [], classes, options: merged, keyed: [text] }, state)
}

function refuseMixed (classes: readonly StatementClass[]): void {
  if (!classes.some(({ kind }) => LOCAL_KINDS.has(kind))) return
  throw new BriarpickError('ERR_BRIARPICK_UNSUPPORTED', 'SET together with other statements is not supported', { hint: 'send SET by itself' })
}

function setOption (state: CallerState, option: StatementClass['option']): void {
  if (option === undefined) return
  const read = readOption(option.name, option.value)
  if (read === undefined) {
    throw new BriarpickError('ERR_BRIARPICK_USAGE', `briarpick.${option.name} cannot be set to ${option.value}`, {
      hint: 'set one of briarpick.session, token, max_age, deadline or current; durations as 500ms or 2s',
    })
  }
  state.options = { ...state.options, ...read }
}

/** What is gathered while an extended batch is rewritten. */
interface Rewrite {
  readonly out: Buffer[]
  readonly local: Buffer[]
  readonly dropParseComplete: number[]
  readonly executed: StatementClass[]
  /** Texts and values that an idempotency key stands for. */
  readonly keyed: Array<string | Buffer>
  readonly portals: Map<string, PreparedStatement>
  options: RequestOptions
  parses: number
  /** Statement that the unnamed one on the target is now. */
  current: PreparedStatement | undefined
}

type Rewriter = (frame: Frame, rewrite: Rewrite, state: CallerState) => void

/** The target's unnamed statement stands in for every statement of the caller, so that no name is left behind. */
function useStatement (name: string, rewrite: Rewrite, state: CallerState): PreparedStatement {
  const prepared = state.statements.get(name)
  if (prepared === undefined) {
    throw new BriarpickError('ERR_BRIARPICK_USAGE', `prepared statement "${name}" does not exist`, { hint: 'prepare it on this connection first' })
  }
  if (rewrite.current !== prepared) {
    rewrite.dropParseComplete.push(rewrite.parses)
    pushParse(writeParse(UNNAMED, prepared.text, prepared.tail), prepared, rewrite)
  }
  return prepared
}

function pushParse (message: Buffer, prepared: PreparedStatement, rewrite: Rewrite): void {
  rewrite.out.push(message)
  rewrite.parses += 1
  rewrite.current = prepared
}

const REWRITERS: Readonly<Record<number, Rewriter>> = {
  [FrontendCode.parse] (frame, rewrite, state) {
    const { name, text: commented, tail } = readParse(frame)
    const { text, options } = readComment(commented)
    const prepared = { text, tail: Buffer.from(tail), classes: classifyStatements(text), options }
    if (state.statements.size >= MAX_STATEMENTS && !state.statements.has(name)) throw tooManyStatements()
    state.statements.set(name, prepared)
    pushParse(name === UNNAMED ? frame : writeParse(UNNAMED, text, tail), prepared, rewrite)
    rewrite.local.push(writeBare(BackendCode.parseComplete))
  },
  [FrontendCode.bind] (frame, rewrite, state) {
    const { portal, statement, tail } = readBind(frame)
    const prepared = useStatement(statement, rewrite, state)
    rewrite.keyed.push(prepared.text, tail)
    rewrite.options = { ...rewrite.options, ...prepared.options }
    rewrite.portals.set(portal, prepared)
    rewrite.out.push(statement === UNNAMED ? frame : writeBind(portal, UNNAMED, tail))
    rewrite.local.push(writeBare(BackendCode.bindComplete))
  },
  [FrontendCode.describe] (frame, rewrite, state) {
    const { kind, name } = readNamed(frame)
    if (kind === 'S') useStatement(name, rewrite, state)
    rewrite.out.push(kind === 'S' ? writeNamed(FrontendCode.describe, 'S', UNNAMED) : frame)
    rewrite.local.push(writeBare(BackendCode.noData))
  },
  [FrontendCode.execute] (frame, rewrite, state) {
    const prepared = rewrite.portals.get(readExecutePortal(frame))
    if (prepared === undefined && state.status === 'I') {
      throw new BriarpickError('ERR_BRIARPICK_UNSUPPORTED', 'a portal is used after its transaction', { hint: 'bind it again, or use a transaction' })
    }
    rewrite.executed.push(...prepared?.classes ?? [{ kind: 'inTransaction' as const }])
    rewrite.out.push(frame)
    rewrite.local.push(writeCommandComplete('SET'))
  },
  [FrontendCode.close] (frame, rewrite, state) {
    const { kind, name } = readNamed(frame)
    if (kind === 'S') state.statements.delete(name)
    rewrite.out.push(kind === 'S' ? writeNamed(FrontendCode.close, 'S', UNNAMED) : frame)
    if (kind === 'S') rewrite.current = undefined
    rewrite.local.push(writeBare(BackendCode.closeComplete))
  },
  [FrontendCode.sync]: () => {},
}

function prepareExtended (batch: CallerBatch, state: CallerState): RemoteBatch | LocalBatch {
  const rewrite: Rewrite = {
    out: [],
    local: [],
    dropParseComplete: [],
    executed: [],
    keyed: [],
    portals: new Map(),
    options: state.options,
    parses: 0,
    current: undefined,
  }
  for (const frame of batch.frames) {
    const rewriter = REWRITERS[frame[0]]
    if (rewriter === undefined) throw unsupportedMessage(frame[0])
    rewriter(frame, rewrite, state)
  }
  if (batch.flushed && rewrite.executed.length > 0) throw flushRefused()
  if (rewrite.out.length === 0) return { kind: 'local', answer: Buffer.alloc(0) }
  if (isLocal(rewrite, state)) {
    for (const { option } of rewrite.executed) setOption(state, option)
    return { kind: 'local', answer: Buffer.concat(rewrite.local) }
  }
  refuseMixed(rewrite.executed)
  const { dropParseComplete, executed: classes, options, keyed } = rewrite
  return remote({ bytes: Buffer.concat([...rewrite.out, SYNC]), dropParseComplete, classes, options, keyed }, state)
}

function isLocal (rewrite: Rewrite, state: CallerState): boolean {
  const touched = rewrite.executed.length > 0 ? rewrite.executed : rewrite.current?.classes ?? []
  return touched.length > 0 && touched.every(({ kind }) => LOCAL_KINDS.has(kind)) && state.statements.size > 0
}

/** A batch ready to be sent, and what it consists of. */
interface Prepared extends Pick<RemoteBatch, 'bytes' | 'dropParseComplete' | 'options'> {
  readonly classes: readonly StatementClass[]
  readonly keyed: ReadonlyArray<string | Buffer>
}

function remote ({ bytes, dropParseComplete, classes, options, keyed }: Prepared, state: CallerState): RemoteBatch {
  return {
    kind: 'remote',
    bytes,
    dropParseComplete,
    access: accessOf(classes),
    transaction: transactionUse(classes, state.status !== 'I'),
    options,
    digest: options.key === undefined ? undefined : digestOf(keyed),
  }
}

function digestOf (parts: ReadonlyArray<string | Buffer>): string {
  const hash = createHash('sha256')
  for (const part of parts) hash.update(part)
  return hash.digest('hex')
}

const READ_KINDS: ReadonlySet<StatementKind> = new Set(['read', 'beginReadOnly'])

function accessOf (classes: readonly StatementClass[]): 'read' | 'write' {
  const isReadOnly = classes.some(({ kind }) => kind === 'beginReadOnly')
  return classes.every(({ kind }) => READ_KINDS.has(kind) || (isReadOnly && kind === 'end')) ? 'read' : 'write'
}

function transactionUse (classes: readonly StatementClass[], startsOpen: boolean): TransactionUse {
  let isOpen = startsOpen
  let wasOpen = startsOpen
  for (const { kind } of classes) {
    if (kind === 'begin' || kind === 'beginReadOnly') isOpen = true
    if (kind === 'end') isOpen = false
    wasOpen ||= isOpen
  }
  if (startsOpen) return isOpen ? 'none' : 'ends'
  if (isOpen) return 'begins'
  return wasOpen ? 'whole' : 'none'
}

function unsupportedMessage (code: number): BriarpickError {
  return new BriarpickError('ERR_BRIARPICK_UNSUPPORTED', `messages of type ${String.fromCharCode(code)} are not supported`, {
    hint: 'use queries and prepared statements; COPY and function calls need a direct connection to the target',
  })
}

function flushRefused (): BriarpickError {
  return new BriarpickError('ERR_BRIARPICK_UNSUPPORTED', 'Flush after Execute is not supported', { hint: 'end the batch with Sync' })
}

function tooManyStatements (): BriarpickError {
  return new BriarpickError('ERR_BRIARPICK_UNSUPPORTED', `a connection may hold ${MAX_STATEMENTS} prepared statements`, { hint: 'close those that are not needed' })
}
