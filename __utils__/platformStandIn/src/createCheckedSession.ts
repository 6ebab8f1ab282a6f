import { type Address } from '@briarpick/types'
import { isNotAppliedCode } from './callers.js'
import { NO_ROW } from './createStatementHandlers.js'
import { createWireClient, newStatementId, type WireReply } from './createWireClient.js'
import { type PreparedStatement } from './standInRun.js'

/** A write of one item. */
export type ItemWrite = readonly [item: string, data: string]

/** A statement that a checked session sent, and what it must run with. In its texts, one character is one byte. */
export interface SentStatement {
  readonly id: string
  /** Number of the session, unique in this process. */
  readonly session: number
  readonly text: string
  /** Session values that were acknowledged before. */
  readonly values: ReadonlyMap<string, string>
  /** What the session prepared under the name of an EXECUTE; null for other statements. */
  readonly prepared: PreparedStatement | null
  /** Number of the transaction in its session; null outside of one. */
  readonly transaction: number | null
  /** Writes that its success commits. */
  readonly commits: readonly ItemWrite[]
  /** Row that its success returns; null if it returns none. */
  readonly row: string | null
  /** Undefined if the connection closed first. */
  readonly reply: WireReply | undefined
}

/** A session that keeps what it has set up and sent, for `findStatementViolations`. Its items must be its own. */
export interface CheckedSession {
  set: (name: string, value: string) => Promise<boolean>
  prepare: (name: string, access: Access, shape: string) => Promise<boolean>
  deallocate: (name: string) => Promise<boolean>
  /** Runs a prepared statement; `data` is for writes only. */
  execute: (name: string, item: string, data?: string) => Promise<boolean>
  read: (item: string) => Promise<boolean>
  write: (item: string, data: string) => Promise<boolean>
  begin: (readOnly?: boolean) => Promise<boolean>
  commit: () => Promise<boolean>
  rollback: () => Promise<boolean>
  /** False once the client must close the session: the set-up or the outcome of a statement is unknown, or the connection closed. */
  isUsable: () => boolean
  /** True inside a transaction, a failed one included. */
  isInTransaction: () => boolean
  /** Statements sent so far, in order. */
  readonly sent: readonly SentStatement[]
  close: () => void
}

type Access = 'READ' | 'WRITE'

/** What a statement must run with, as far as it differs from a plain statement. */
interface Expectation {
  readonly prepared?: PreparedStatement
  readonly commits?: readonly ItemWrite[]
  readonly row?: string
}

let sessions = 0

/** Connects under a caller name. Rejects with the error code if the connection is refused. */
export async function createCheckedSession (address: Address, callerName: string): Promise<CheckedSession> {
  const client = await createWireClient(address, callerName)
  const session = ++sessions
  const sent: SentStatement[] = []
  const prepared = new Map<string, PreparedStatement>()
  const rows = new Map<string, string>()
  let values: ReadonlyMap<string, string> = new Map()
  let transactions = 0
  let state = 'I'
  let pending: ItemWrite[] = []
  let usable = true

  /** Sends a statement and records it; true if it succeeded. */
  async function send (text: string, { prepared: preparedAs, commits = [], row }: Expectation = {}): Promise<boolean> {
    const id = newStatementId()
    const transaction = state === 'I' ? null : transactions
    const reply = await client.query(text, id).catch(() => undefined)
    sent.push({ id, session, text, values, prepared: preparedAs ?? null, transaction, commits, row: row ?? null, reply })
    state = reply?.state ?? state
    if (reply === undefined) usable = false
    if (reply?.error === null) return true
    if (commits.length > 0 && !isNotAppliedCode(reply?.error)) usable = false
    return false
  }

  /** Sends a statement that sets up the session. After an error, clients close it. */
  async function setUp (text: string): Promise<boolean> {
    const succeeded = await send(text)
    if (!succeeded) usable = false
    return succeeded
  }

  function rowOf (item: string): string {
    return pending.findLast(([name]) => name === item)?.[1] ?? rows.get(item) ?? NO_ROW
  }

  async function sendWrite (text: string, write: ItemWrite, preparedAs?: PreparedStatement): Promise<boolean> {
    const inTransaction = state !== 'I'
    const succeeded = await send(text, { prepared: preparedAs, commits: inTransaction ? [] : [write] })
    if (succeeded && inTransaction) pending.push(write)
    if (succeeded && !inTransaction) rows.set(...write)
    return succeeded
  }

  async function end (text: string, commits: readonly ItemWrite[]): Promise<boolean> {
    const succeeded = await send(text, { commits })
    if (succeeded) for (const [item, data] of commits) rows.set(item, data)
    if (state === 'I') pending = []
    else usable = false
    return succeeded
  }

  return {
    sent,
    async set (name, value) {
      const succeeded = await setUp(`SET ${name} ${value}`)
      if (succeeded) values = new Map([...values, [name, value]])
      return succeeded
    },
    async prepare (name, access, shape) {
      const succeeded = await setUp(`PREPARE ${name} ${access} ${shape}`)
      if (succeeded) prepared.set(name, { access, shape })
      return succeeded
    },
    async deallocate (name) {
      prepared.delete(name)
      return await setUp(`DEALLOCATE ${name}`)
    },
    async execute (name, item, data) {
      const preparedAs = prepared.get(name)
      if (data !== undefined) return await sendWrite(`EXECUTE ${name} ${item} ${data}`, [item, data], preparedAs)
      return await send(`EXECUTE ${name} ${item}`, { prepared: preparedAs, row: rowOf(item) })
    },
    read: async (item) => await send(`READ ${item}`, { row: rowOf(item) }),
    write: async (item, data) => await sendWrite(`WRITE ${item} ${data}`, [item, data]),
    async begin (readOnly = false) {
      transactions += 1
      state = 'T'
      return await send(readOnly ? 'BEGIN READ' : 'BEGIN')
    },
    commit: async () => await end('COMMIT', state === 'T' ? pending : []),
    rollback: async () => await end('ROLLBACK', []),
    isUsable: () => usable,
    isInTransaction: () => state !== 'I',
    close: client.close,
  }
}
