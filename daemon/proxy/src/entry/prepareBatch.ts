import { createHash } from 'node:crypto'
import { BriarpickError } from '@briarpick/error'
import { type TransactionUse } from '@briarpick/home'
import { type CallerBatch } from '@briarpick/pg-caller'
import {
  BackendCode,
  type Frame,
  FrontendCode,
  readBind,
  readDescribeOrClose,
  readExecutePortal,
  readParse,
  readQuery,
  writeBind,
  writeCommandComplete,
  writeDescribeOrClose,
  writeEmptyMessage,
  writeParse,
} from '@briarpick/pg-wire'
import {
  classifyStatements, extractRequestOptions, parseRequestOption, type RequestOptions, type StatementClass, type StatementKind,
} from '@briarpick/statement'
import { type CallerState, MAX_PREPARED_STATEMENTS, type PreparedStatement } from './callerState.js'

/** A batch to be run by a home. */
export interface RemoteBatch {
  readonly kind: 'remote'
  /** Messages for the target, up to and including Query or Sync. */
  readonly bytes: Buffer
  /** Zero-based indexes of the ParseComplete messages to drop from the response, since the entry added their Parse messages. */
  readonly dropParseComplete: readonly number[]
  readonly access: 'read' | 'write'
  readonly transaction: TransactionUse
  readonly options: RequestOptions
  /** Hex SHA-256 of texts and values, to detect an idempotency key that is reused for another request; absent without a key. */
  readonly digest?: string
}

/** A batch answered by the entry, without a home. */
export interface LocalBatch {
  readonly kind: 'local'
  readonly answer: Buffer
}

/** Name of the unnamed statement, which each Parse on the target replaces. */
const UNNAMED = ''
const SYNC = writeEmptyMessage(FrontendCode.sync)
const LOCAL_KINDS: ReadonlySet<StatementKind> = new Set(['setOption', 'noEffect'])

/**
 * Classifies a batch and rewrites it so that it leaves no state on a shared target connection. Throws a BriarpickError for
 * unsupported messages and statements, unknown prepared statements and invalid options.
 */
export function prepareBatch (batch: CallerBatch, state: CallerState): RemoteBatch | LocalBatch {
  return batch.kind === 'simple' ? prepareSimple(batch.frames[0], state) : prepareExtended(batch, state)
}

function prepareSimple (frame: Frame, state: CallerState): RemoteBatch | LocalBatch {
  const { text, options } = extractRequestOptions(readQuery(frame))
  const classes = classifyStatements(text)
  if (classes.length > 0 && classes.every(({ kind }) => LOCAL_KINDS.has(kind))) {
    for (const { option } of classes) setOption(state, option)
    return { kind: 'local', answer: Buffer.concat(classes.map(() => writeCommandComplete('SET'))) }
  }
  rejectMixedSet(classes)
  const merged = { ...state.options, ...options }
  return createRemoteBatch({ bytes: frame, dropParseComplete: [], classes, options: merged, digestParts: [text] }, state)
}

function rejectMixedSet (classes: readonly StatementClass[]): void {
  if (!classes.some(({ kind }) => LOCAL_KINDS.has(kind))) return
  throw new BriarpickError('ERR_BRIARPICK_UNSUPPORTED', 'SET in a batch with other statements is not supported', { hint: 'send SET separately' })
}

function setOption (state: CallerState, option: StatementClass['option']): void {
  if (option === undefined) return
  const read = parseRequestOption(option.name, option.value)
  if (read === undefined) {
    throw new BriarpickError('ERR_BRIARPICK_USAGE', `briarpick.${option.name} cannot be set to ${option.value}`, {
      hint: 'set one of briarpick.session, token, max_age, deadline or current; durations as 500ms or 2s',
    })
  }
  state.options = { ...state.options, ...read }
}

/** State of the rewriting of an extended-protocol batch. */
interface Rewrite {
  /** Messages for the target. */
  readonly out: Buffer[]
  /** Answer in case the entry answers the batch itself. */
  readonly localAnswer: Buffer[]
  readonly dropParseComplete: number[]
  /** Classes of the statements of each Execute. */
  readonly executed: StatementClass[]
  /** Texts and values covered by the digest of an idempotency key. */
  readonly digestParts: Array<string | Buffer>
  /** Statements by the portal that a Bind of this batch created. */
  readonly portals: Map<string, PreparedStatement>
  options: RequestOptions
  /** Number of Parse messages in `out`. */
  parseCount: number
  /** Statement that is parsed as the unnamed one on the target. */
  current: PreparedStatement | undefined
}

type Rewriter = (frame: Frame, rewrite: Rewrite, state: CallerState) => void

/**
 * Parses a caller's statement as the unnamed statement of the target, unless it is parsed already. Named statements are never
 * created on a target, since its connections are shared.
 */
function ensureParsed (name: string, rewrite: Rewrite, state: CallerState): PreparedStatement {
  const prepared = state.statements.get(name)
  if (prepared === undefined) {
    throw new BriarpickError('ERR_BRIARPICK_USAGE', `prepared statement "${name}" does not exist`, { hint: 'prepare it on this connection first' })
  }
  if (rewrite.current !== prepared) {
    rewrite.dropParseComplete.push(rewrite.parseCount)
    pushParse(writeParse(UNNAMED, prepared.text, prepared.tail), prepared, rewrite)
  }
  return prepared
}

function pushParse (message: Buffer, prepared: PreparedStatement, rewrite: Rewrite): void {
  rewrite.out.push(message)
  rewrite.parseCount += 1
  rewrite.current = prepared
}

const REWRITERS: Readonly<Record<number, Rewriter>> = {
  [FrontendCode.parse] (frame, rewrite, state) {
    const { name, text: rawText, tail } = readParse(frame)
    const { text, options } = extractRequestOptions(rawText)
    const prepared = { text, tail: Buffer.from(tail), classes: classifyStatements(text), options }
    if (state.statements.size >= MAX_PREPARED_STATEMENTS && !state.statements.has(name)) throw tooManyStatements()
    state.statements.set(name, prepared)
    pushParse(name === UNNAMED ? frame : writeParse(UNNAMED, text, tail), prepared, rewrite)
    rewrite.localAnswer.push(writeEmptyMessage(BackendCode.parseComplete))
  },
  [FrontendCode.bind] (frame, rewrite, state) {
    const { portal, statement, tail } = readBind(frame)
    const prepared = ensureParsed(statement, rewrite, state)
    rewrite.digestParts.push(prepared.text, tail)
    rewrite.options = { ...rewrite.options, ...prepared.options }
    rewrite.portals.set(portal, prepared)
    rewrite.out.push(statement === UNNAMED ? frame : writeBind(portal, UNNAMED, tail))
    rewrite.localAnswer.push(writeEmptyMessage(BackendCode.bindComplete))
  },
  [FrontendCode.describe] (frame, rewrite, state) {
    const { kind, name } = readDescribeOrClose(frame)
    if (kind === 'S') ensureParsed(name, rewrite, state)
    rewrite.out.push(kind === 'S' ? writeDescribeOrClose(FrontendCode.describe, 'S', UNNAMED) : frame)
    rewrite.localAnswer.push(writeEmptyMessage(BackendCode.noData))
  },
  [FrontendCode.execute] (frame, rewrite, state) {
    const prepared = rewrite.portals.get(readExecutePortal(frame))
    if (prepared === undefined && state.status === 'I') {
      throw new BriarpickError('ERR_BRIARPICK_UNSUPPORTED', 'the portal was not bound in this batch, and no transaction is open', { hint: 'bind it in the same batch, or use a transaction' })
    }
    rewrite.executed.push(...prepared?.classes ?? [{ kind: 'inTransaction' as const }])
    rewrite.out.push(frame)
    rewrite.localAnswer.push(writeCommandComplete('SET'))
  },
  [FrontendCode.close] (frame, rewrite, state) {
    const { kind, name } = readDescribeOrClose(frame)
    if (kind === 'S') state.statements.delete(name)
    rewrite.out.push(kind === 'S' ? writeDescribeOrClose(FrontendCode.close, 'S', UNNAMED) : frame)
    if (kind === 'S') rewrite.current = undefined
    rewrite.localAnswer.push(writeEmptyMessage(BackendCode.closeComplete))
  },
  [FrontendCode.sync]: () => {},
}

function prepareExtended (batch: CallerBatch, state: CallerState): RemoteBatch | LocalBatch {
  const rewrite: Rewrite = {
    out: [],
    localAnswer: [],
    dropParseComplete: [],
    executed: [],
    digestParts: [],
    portals: new Map(),
    options: state.options,
    parseCount: 0,
    current: undefined,
  }
  for (const frame of batch.frames) {
    const rewriter = REWRITERS[frame[0]]
    if (rewriter === undefined) throw unsupportedMessage(frame[0])
    rewriter(frame, rewrite, state)
  }
  if (batch.flushed && rewrite.executed.length > 0) throw flushUnsupported()
  if (rewrite.out.length === 0) return { kind: 'local', answer: Buffer.alloc(0) }
  if (isLocal(rewrite, state)) {
    for (const { option } of rewrite.executed) setOption(state, option)
    return { kind: 'local', answer: Buffer.concat(rewrite.localAnswer) }
  }
  rejectMixedSet(rewrite.executed)
  const { dropParseComplete, executed: classes, options, digestParts } = rewrite
  return createRemoteBatch({ bytes: Buffer.concat([...rewrite.out, SYNC]), dropParseComplete, classes, options, digestParts }, state)
}

function isLocal (rewrite: Rewrite, state: CallerState): boolean {
  const affectedClasses = rewrite.executed.length > 0 ? rewrite.executed : rewrite.current?.classes ?? []
  return affectedClasses.length > 0 && affectedClasses.every(({ kind }) => LOCAL_KINDS.has(kind)) && state.statements.size > 0
}

/** A rewritten batch with the classes of its statements. */
interface ClassifiedBatch extends Pick<RemoteBatch, 'bytes' | 'dropParseComplete' | 'options'> {
  readonly classes: readonly StatementClass[]
  readonly digestParts: ReadonlyArray<string | Buffer>
}

function createRemoteBatch ({ bytes, dropParseComplete, classes, options, digestParts }: ClassifiedBatch, state: CallerState): RemoteBatch {
  return {
    kind: 'remote',
    bytes,
    dropParseComplete,
    access: accessOf(classes),
    transaction: transactionUse(classes, state.status !== 'I'),
    options,
    digest: options.key === undefined ? undefined : digestOf(digestParts),
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

function flushUnsupported (): BriarpickError {
  return new BriarpickError('ERR_BRIARPICK_UNSUPPORTED', 'Flush after Execute is not supported', { hint: 'end the batch with Sync' })
}

function tooManyStatements (): BriarpickError {
  return new BriarpickError('ERR_BRIARPICK_UNSUPPORTED', `a connection may have at most ${MAX_PREPARED_STATEMENTS} prepared statements`, { hint: 'close prepared statements that are no longer needed' })
}
