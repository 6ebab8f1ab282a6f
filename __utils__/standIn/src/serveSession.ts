import { type Socket } from 'node:net'
import { type BackendKey, type CallerBatch, createCallerChannel } from '@briarpick/pg-caller'
import { parseSql, type StatementTree } from '@briarpick/statement'
import { BriarpickError } from '@briarpick/error'
import {
  BackendCode,
  type Frame,
  FrontendCode,
  readBind,
  readDescribeOrClose,
  readParse,
  readQuery,
  type TransactionStatus,
  writeCommandComplete,
  writeDataRow,
  writeEmptyMessage,
  writeErrorFields,
  writeReadyForQuery,
  writeRowDescription,
} from '@briarpick/pg-wire'
import { Writer } from 'pg-protocol/dist/buffer-writer.js'
import { describeStatement, runStatement, type StatementResult } from './interpreter.js'
import { type Instance } from './createInstance.js'
import { SqlError, type Transaction, type Value } from './createLedger.js'

interface Prepared {
  readonly text: string
  readonly tree: StatementTree | undefined
}

interface Portal extends Prepared {
  readonly params: readonly Value[]
}

const MAX_BATCH_BYTES = 64 * 1024 * 1024
const EMPTY_TREE: StatementTree = {}

/** Serves one connection after its startup. `pipelinedBytes` arrived after the startup message. */
export function serveSession (instance: Instance, socket: Socket, pipelinedBytes: Buffer, cancellation: { onCancel: () => void }) {
  const statements = new Map<string, Prepared>()
  const portals = new Map<string, Portal>()
  let explicitTx: Transaction | undefined
  let failed = false
  let cancelSleep = () => {}
  cancellation.onCancel = () => cancelSleep()

  const status = (): TransactionStatus => explicitTx === undefined ? 'I' : failed ? 'E' : 'T'
  const channel = createCallerChannel({
    socket,
    pipelinedBytes,
    maxBatchBytes: MAX_BATCH_BYTES,
    onBatch: (batch) => handleBatch(batch),
    onClose: () => {},
  })

  /** Handles a batch of messages. A batch that only calls instance functions takes no slot and has no service time. */
  async function handleBatch (batch: CallerBatch): Promise<void> {
    const out: Buffer[] = []
    const needsNoSlot = batch.frames.every((frame) => isInstanceFunctionCall(frame))
    if (!needsNoSlot) await instance.slots.acquire()
    const implicitTx = instance.beginTransaction()
    try {
      if (!needsNoSlot && instance.limits.statementMs > 0) await sleep(instance.limits.statementMs)
      for (const frame of batch.frames) await handleFrame(frame, implicitTx, out)
      if (explicitTx === undefined) await commit(implicitTx)
    } catch (err) {
      if (explicitTx !== undefined) failed = true
      out.push(writeError(err))
    } finally {
      if (!needsNoSlot) instance.slots.release()
    }
    out.push(writeReadyForQuery(status()))
    await channel.write(Buffer.concat(out))
  }

  /** True for a simple query that starts with a call of an instance function. */
  function isInstanceFunctionCall (frame: Frame): boolean {
    if (frame[0] !== FrontendCode.query) return false
    const text = readQuery(frame)
    const name = /^SELECT (\w+)\(/.exec(text)?.[1] ?? ''
    return instance.isInstanceFunction(name)
  }

  const frameHandlers: Readonly<Record<number, (frame: Frame, implicitTx: Transaction, out: Buffer[]) => Promise<void> | void>> = {
    async [FrontendCode.query] (frame, implicitTx, out) {
      const text = readQuery(frame)
      const trees = parseSql(text)
      if (trees.length === 0) out.push(writeEmptyMessage(BackendCode.emptyQuery))
      for (const tree of trees) {
        const result = await runPortal({ text, tree, params: [] }, implicitTx)
        if (result.columns !== null) out.push(writeRowDescription(result.columns))
        pushRows(result, out)
      }
    },
    [FrontendCode.parse] (frame, _implicitTx, out) {
      const { name, text } = readParse(frame)
      const trees = parseSql(text)
      if (trees.length > 1) throw new SqlError('42601', 'cannot insert multiple commands into a prepared statement')
      statements.set(name, { text, tree: trees[0] })
      out.push(writeEmptyMessage(BackendCode.parseComplete))
    },
    [FrontendCode.bind] (frame, _implicitTx, out) {
      const { portal, statement, tail } = readBind(frame)
      const prepared = statements.get(statement)
      if (prepared === undefined) throw new SqlError('26000', `prepared statement "${statement}" does not exist`)
      portals.set(portal, { ...prepared, params: readParams(tail) })
      out.push(writeEmptyMessage(BackendCode.bindComplete))
    },
    [FrontendCode.describe] (frame, implicitTx, out) {
      const { kind, name } = readDescribeOrClose(frame)
      const prepared = kind === 'S' ? statements.get(name) : portals.get(name)
      if (prepared === undefined) throw new SqlError('26000', `prepared statement or portal "${name}" does not exist`)
      if (kind === 'S') out.push(parameterDescription(prepared.text))
      const columns = describeColumns(prepared.tree, implicitTx)
      out.push(columns === null ? writeEmptyMessage(BackendCode.noData) : writeRowDescription(columns))
    },
    async [FrontendCode.execute] (frame, implicitTx, out) {
      const portal = portals.get(frame.toString('utf8', 5, frame.indexOf(0, 5)))
      if (portal === undefined) throw new SqlError('34000', 'portal does not exist')
      if (portal.tree === undefined) out.push(writeEmptyMessage(BackendCode.emptyQuery))
      else pushRows(await runPortal({ ...portal, tree: portal.tree }, implicitTx), out)
    },
    [FrontendCode.close] (frame, _implicitTx, out) {
      const { kind, name } = readDescribeOrClose(frame)
      if (kind === 'S') statements.delete(name)
      else portals.delete(name)
      out.push(writeEmptyMessage(BackendCode.closeComplete))
    },
    [FrontendCode.sync]: () => {},
  }

  async function handleFrame (frame: Frame, implicitTx: Transaction, out: Buffer[]): Promise<void> {
    const handle = frameHandlers[frame[0]]
    if (handle === undefined) throw new SqlError('0A000', 'the stand-in target does not support this message')
    await handle(frame, implicitTx, out)
  }

  function describeColumns (tree: StatementTree | undefined, implicitTx: Transaction): StatementResult['columns'] {
    if (tree === undefined || tree.TransactionStmt !== undefined) return null
    return describeStatement(tree, context(explicitTx ?? implicitTx, []))
  }

  function context (tx: Transaction, params: readonly Value[]) {
    return { ledger: instance.ledger, tx, writable: instance.role() === 'primary', params, call: instance.call }
  }

  async function runPortal (portal: Portal & { readonly tree: StatementTree }, implicitTx: Transaction): Promise<StatementResult> {
    const transactionStmt = portal.tree.TransactionStmt
    if (transactionStmt !== undefined) return await runTransactionControl(transactionStmt.kind)
    if (failed) throw new SqlError('25P02', 'current transaction is aborted, commands ignored until end of transaction block')
    const sleepSeconds = pgSleepSeconds(portal.tree)
    if (sleepSeconds !== undefined) return await runSleep(sleepSeconds)
    const tx = explicitTx ?? implicitTx
    const changesBefore = tx.changes.size + tx.tables.size
    const result = runStatement(portal.tree ?? EMPTY_TREE, context(tx, portal.params))
    if (portal.tree.SelectStmt === undefined || tx.changes.size + tx.tables.size !== changesBefore) tx.statements.push(portal.text)
    return result
  }

  async function runSleep (seconds: number): Promise<StatementResult> {
    const isCancelled = await new Promise<boolean>((resolve) => {
      const timer = setTimeout(() => resolve(false), seconds * 1000)
      cancelSleep = () => {
        clearTimeout(timer)
        resolve(true)
      }
    })
    cancelSleep = () => {}
    if (isCancelled) throw new SqlError('57014', 'canceling statement due to user request')
    return { columns: [{ name: 'pg_sleep', typeId: 25 }], rows: [['']], tag: 'SELECT 1' }
  }

  async function runTransactionControl (kind: string): Promise<StatementResult> {
    const commandResult = (tag: string) => ({ columns: null, rows: [], tag })
    if (kind === 'TRANS_STMT_BEGIN' || kind === 'TRANS_STMT_START') {
      explicitTx ??= instance.beginTransaction()
      return commandResult('BEGIN')
    }
    const tx = explicitTx
    const rolledBack = failed || kind === 'TRANS_STMT_ROLLBACK'
    explicitTx = undefined
    failed = false
    if (kind !== 'TRANS_STMT_COMMIT' && kind !== 'TRANS_STMT_ROLLBACK') throw new SqlError('0A000', 'the stand-in target does not support savepoints')
    if (tx !== undefined && !rolledBack) await commit(tx)
    return commandResult(rolledBack ? 'ROLLBACK' : 'COMMIT')
  }

  async function commit (tx: Transaction): Promise<void> {
    if (tx.changes.size === 0 && tx.tables.size === 0) return
    if (instance.limits.commitMs > 0) await sleep(instance.limits.commitMs)
    if (instance.role() !== 'primary') throw new SqlError('25006', 'cannot commit: this instance is no longer a primary')
    instance.ledger.commit(tx, instance.term())
  }
}

/** Key that a cancel request must carry, and the callback for a request that carries it. */
export interface Cancellation {
  readonly key: BackendKey
  onCancel: () => void
}

function pushRows (result: StatementResult, out: Buffer[]): void {
  for (const row of result.rows) out.push(writeDataRow(row))
  out.push(writeCommandComplete(result.tag))
}

/** Argument of `SELECT pg_sleep(…)`; undefined for other statements. */
function pgSleepSeconds (tree: StatementTree): number | undefined {
  const call = tree.SelectStmt?.targetList?.[0]?.ResTarget.val.FuncCall
  if (call?.funcname.at(-1).String.sval !== 'pg_sleep') return undefined
  const constant = call.args[0].A_Const
  return Number(constant.fval?.fval ?? constant.ival?.ival ?? 0)
}

function parameterDescription (text: string): Buffer {
  const numbers = [...text.matchAll(/\$(\d+)/g)].map((found) => Number(found[1]))
  const count = Math.max(0, ...numbers)
  const writer = new Writer().addInt16(count)
  for (let i = 0; i < count; i++) writer.addInt32(25)
  return writer.flush(BackendCode.parameterDescription)
}

/** Reads the parameters of a Bind message, from its format codes on. */
function readParams (tail: Buffer): Value[] {
  const formats = tail.readInt16BE(0)
  for (let i = 0; i < formats; i++) {
    if (tail.readInt16BE(2 + 2 * i) !== 0) throw new SqlError('0A000', 'the stand-in target does not support binary parameters')
  }
  let offset = 2 + 2 * formats
  const params: Value[] = []
  const count = tail.readInt16BE(offset)
  offset += 2
  for (let i = 0; i < count; i++) {
    const length = tail.readInt32BE(offset)
    offset += 4
    params.push(length < 0 ? null : tail.toString('utf8', offset, offset + length))
    offset += Math.max(0, length)
  }
  return params
}

function writeError (err: unknown): Buffer {
  if (err instanceof SqlError || err instanceof BriarpickError) return writeErrorFields({ sqlState: err.sqlState, message: err.message })
  return writeErrorFields({ sqlState: 'XX000', message: err instanceof Error ? err.message : String(err) })
}

function sleep (ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms))
}
