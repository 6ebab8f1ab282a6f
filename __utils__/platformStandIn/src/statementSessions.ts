import { setTimeout as sleep } from 'node:timers/promises'
import { type CallerEndpoint, type RunningCaller } from './callers.js'
import { type CheckedSession, createCheckedSession, type SentStatement } from './createCheckedSession.js'
import { newStatementId } from './createWireClient.js'
import { type StatementTexts } from './statementTexts.js'

/** Options of sessions that send statements with drawn texts. */
export interface StatementSessionOptions {
  /** Name that the session connects to; its route must let it read its own writes. */
  readonly callerName: string
  readonly texts: StatementTexts
  /** Source of random numbers, uniform in [0, 1). */
  readonly random: () => number
}

/** A session that sends one operation after the other. */
export interface StatementSession extends CheckedSession {
  /** Sends the next operation: sets up the session, runs a statement, or runs a transaction. */
  next: () => Promise<void>
}

/** Prepared statement that the session can execute. */
interface Prepared {
  readonly name: string
  readonly access: 'READ' | 'WRITE'
}

/** Number of items of a session with the same end, few enough that most reads return a row that was written. */
const ITEMS = 2
const MAX_TRANSACTION_STATEMENTS = 4
const ROLLBACK_SHARE = 0.25
const READ_ONLY_SHARE = 0.2
/** Operations of a session before the client closes it. */
const MAX_OPERATIONS = 25
/** Pause of a client between two operations, and before it connects again, in ms. */
const PAUSE_MS = 2
const RETRY_DELAY_MS = 30

/** Opens a session that draws its operations. Rejects with the error code if the connection is refused. */
export async function openStatementSession (endpoint: CallerEndpoint, opts: StatementSessionOptions): Promise<StatementSession> {
  const { callerName, texts, random } = opts
  const session = await createCheckedSession(endpoint.callers, callerName)
  const itemPrefix = `i${newStatementId()}`
  const prepared = new Map<string, Prepared>()

  const draw = <T>(items: readonly T[]): T => items[Math.floor(random() * items.length)]
  const drawItem = () => `${itemPrefix}.${Math.floor(random() * ITEMS)}.${draw(texts.words)}`
  const drawText = () => draw(texts.lastFields)

  async function prepare (): Promise<void> {
    const statement: Prepared = { name: draw(texts.words), access: random() < 0.5 ? 'READ' : 'WRITE' }
    if (await session.prepare(statement.name, statement.access, drawText())) prepared.set(statement.name, statement)
  }

  async function execute (isReadOnly = false): Promise<void> {
    const statement = draw([...prepared.values()].filter(({ access }) => !isReadOnly || access === 'READ'))
    if (statement === undefined) return
    await (statement.access === 'READ' ? session.execute(statement.name, drawItem()) : session.execute(statement.name, drawItem(), drawText()))
  }

  async function deallocate (): Promise<void> {
    const statement = draw([...prepared.values()])
    if (statement === undefined) return
    prepared.delete(statement.name)
    await session.deallocate(statement.name)
  }

  type Operation = (isReadOnly?: boolean) => Promise<unknown>
  const set: Operation = async () => await session.set(draw(texts.words), drawText())
  const read: Operation = async () => await session.read(drawItem())
  const write: Operation = async (isReadOnly) => isReadOnly === true ? await read() : await session.write(drawItem(), drawText())
  const statements: readonly Operation[] = [execute, execute, execute, read, write, set, prepare]

  async function transaction (): Promise<void> {
    const isReadOnly = random() < READ_ONLY_SHARE
    await session.begin(isReadOnly)
    const length = 1 + Math.floor(random() * MAX_TRANSACTION_STATEMENTS)
    let succeeded = true
    for (let i = 0; i < length && succeeded && session.isUsable() && session.isInTransaction(); i += 1) {
      await draw(statements)(isReadOnly)
      succeeded = session.sent.at(-1)?.reply?.error === null
    }
    if (!session.isInTransaction() || !session.isUsable()) return
    await (!succeeded || random() < ROLLBACK_SHARE ? session.rollback() : session.commit())
  }

  const operations: readonly Operation[] = [...statements, execute, execute, read, transaction, transaction, deallocate]
  return {
    ...session,
    async next () {
      await (prepared.size === 0 ? prepare() : draw(operations)())
    },
  }
}

/**
 * Runs sessions in turn, one operation at a time, so that they share the connections of the instances. Sessions that become unusable
 * end. Resolves with all statements that they sent.
 */
export async function runSessionsInTurn (
  endpoints: readonly CallerEndpoint[],
  opts: StatementSessionOptions,
  operations: number
): Promise<readonly SentStatement[]> {
  const sessions = await Promise.all(endpoints.map(async (endpoint) => await openStatementSession(endpoint, opts)))
  for (let i = 0; i < operations; i += 1) for (const session of sessions) if (session.isUsable()) await session.next()
  for (const session of sessions) session.close()
  return sessions.flatMap(({ sent }) => sent)
}

/** Starts a client that opens one session after the other, until it is stopped. */
export function startStatementClient (endpoint: CallerEndpoint, opts: StatementSessionOptions): RunningCaller<SentStatement> {
  const sent: SentStatement[] = []
  let running = true

  async function runSession (): Promise<void> {
    const session = await openStatementSession(endpoint, opts)
    for (let i = 0; running && i < MAX_OPERATIONS && session.isUsable(); i += 1) {
      await session.next()
      await sleep(PAUSE_MS)
    }
    session.close()
    sent.push(...session.sent)
  }

  async function loop (): Promise<void> {
    // A refused connection is a normal result while proxies restart.
    while (running) await runSession().catch(async () => await sleep(RETRY_DELAY_MS))
  }

  const ended = loop()
  return {
    async stop () {
      running = false
      await ended
      return sent
    },
  }
}
