import { setTimeout as sleep } from 'node:timers/promises'
import { type StandInGroup } from './createStandInGroup.js'
import { type StandInInstance } from './createStandInInstance.js'
import { type PreparedStatement } from './standInRun.js'
import { splitFields } from './wireLines.js'

/** Row of an item that was never written. */
export const NO_ROW = 'none'

/** Runs the statements of one connection. */
export interface StatementHandlers {
  /** Opens the session of a peer; returns the lines of the response. */
  open: (peer: string) => string
  /** Runs a statement; resolves with the lines of the response. */
  run: (id: string, text: string) => Promise<string>
  /** Refuses a statement; returns the lines of the response. */
  refuse: (code: string) => string
  rollBack: () => void
}

interface StatementHandlersOptions {
  readonly instance: StandInInstance
  readonly group: StandInGroup
  /** Number of the connection, unique at its instance. */
  readonly connection: number
}

/** Statement that is being handled. */
interface Statement {
  readonly id: string
  /** Text without a WAITLSN prefix. */
  readonly text: string
  /** Text after the first word. */
  readonly rest: string
}

/** Poll interval and timeout of the wait for a position (WAITLSN). */
const POSITION_POLL_MS = 2
const POSITION_TIMEOUT_MS = 500
const WAIT_PREFIX = /^WAITLSN (\d+\.\d+) /
/** Data of a WRITE or an EXECUTE without any. */
const NO_DATA = ''

/** Creates the handlers of a connection without session values and prepared statements. */
export function createStatementHandlers ({ instance, group, connection }: StatementHandlersOptions): StatementHandlers {
  const prepared = new Map<string, PreparedStatement>()
  let values: ReadonlyMap<string, string> = new Map()
  let peer = ''
  let state: 'I' | 'T' | 'E' = 'I'
  let transactions = 0
  let writes: Array<readonly [string, string]> = []
  let readOnly = false

  function position (): string {
    const last = instance.applied().at(-1)
    return last === undefined ? `${instance.heldTerm()}.0` : `${last.term}.${last.number}`
  }

  function ready (): string {
    return `READY ${state} ${position()}`
  }

  function respond (lines: readonly string[]): string {
    return [...lines, ready()].map((line) => `${line}\r\n`).join('')
  }

  function refuse (code: string): string {
    if (state === 'T') state = 'E'
    return respond([`ERROR ${code} ${instance.id}`])
  }

  /** Response to a command that leaves no signature. */
  function acknowledge (): string {
    return respond(['COMPLETE -'])
  }

  function valueOf (item: string): string {
    const own = writes.findLast(([name]) => name === item)
    if (own !== undefined) return own[1]
    const commit = instance.applied().findLast(({ writes: committed }) => committed.some(([name]) => name === item))
    return commit?.writes.findLast(([name]) => name === item)?.[1] ?? NO_ROW
  }

  /** Records a run; returns its signature. */
  function recordRun ({ id, text }: Statement, statement: PreparedStatement | null = null): string {
    const transaction = state === 'T' ? transactions : null
    return instance.recordRun({ id, text, connection, transaction, values, prepared: statement }, peer)
  }

  async function runRead (statement: Statement, item: string, preparedAs: PreparedStatement | null = null): Promise<string> {
    await sleep(group.serviceTimeMs)
    const signature = recordRun(statement, preparedAs)
    return respond([`DATAROW ${valueOf(item)}`, `COMPLETE ${signature}`])
  }

  async function runWrite (statement: Statement, args: string, preparedAs: PreparedStatement | null = null): Promise<string> {
    if (!instance.isPrimary() || readOnly) return refuse('READONLY')
    const [item, data = NO_DATA] = splitFields(args, 2)
    await sleep(group.serviceTimeMs)
    const signature = recordRun(statement, preparedAs)
    if (state === 'T') writes.push([item, data])
    else await group.commit(instance, { id: statement.id, writes: [[item, data]] })
    return respond([`COMPLETE ${signature}`])
  }

  async function runCommit (statement: Statement): Promise<string> {
    const committed = writes
    const failed = state === 'E'
    const signature = failed ? '' : recordRun(statement)
    endTransaction()
    if (failed) return refuse('ABORTED')
    if (committed.length > 0) await group.commit(instance, { id: statement.id, writes: committed })
    return respond([`COMPLETE ${signature}`])
  }

  function endTransaction (): void {
    state = 'I'
    writes = []
    readOnly = false
  }

  /** Waits until the applied commits reach a position. Returns false on a timeout, or immediately if the log lacks the position. */
  async function waitForPosition (wanted: string): Promise<boolean> {
    const [term, number] = wanted.split('.').map(Number)
    const reaches = (commits: readonly { readonly term: number, readonly number: number }[]) =>
      number === 0 || commits.some((commit) => commit.term > term || (commit.term === term && commit.number >= number))
    for (let waited = 0; waited < POSITION_TIMEOUT_MS; waited += POSITION_POLL_MS) {
      if (reaches(instance.applied())) return true
      if (!reaches(instance.received())) return false
      await sleep(POSITION_POLL_MS)
    }
    return false
  }

  type Handler = (statement: Statement) => Promise<string> | string
  const handlers: ReadonlyMap<string, Handler> = new Map<string, Handler>([
    ['BEGIN', (statement) => {
      const isReadOnly = statement.rest === 'READ'
      if (!isReadOnly && !instance.isPrimary()) return refuse('READONLY')
      readOnly = isReadOnly
      state = 'T'
      transactions += 1
      recordRun(statement)
      return acknowledge()
    }],
    ['COMMIT', runCommit],
    ['ROLLBACK', () => {
      endTransaction()
      return acknowledge()
    }],
    ['READ', async (statement) => await runRead(statement, statement.rest)],
    ['WRITE', async (statement) => await runWrite(statement, statement.rest)],
    ['SET', ({ rest }) => {
      const [name, value = NO_DATA] = splitFields(rest, 2)
      values = new Map([...values, [name, value]])
      return acknowledge()
    }],
    ['PREPARE', ({ rest }) => {
      const [name, access = '', shape = ''] = splitFields(rest, 3)
      prepared.set(name, { access, shape })
      return acknowledge()
    }],
    ['EXECUTE', async (statement) => {
      const [name, args = ''] = splitFields(statement.rest, 2)
      const preparedAs = prepared.get(name)
      if (preparedAs === undefined) return refuse('NOSTMT')
      if (preparedAs.access !== 'READ') return await runWrite(statement, args, preparedAs)
      return await runRead(statement, splitFields(args, 2)[0], preparedAs)
    }],
    ['DEALLOCATE', ({ rest }) => prepared.delete(rest) ? acknowledge() : refuse('NOSTMT')],
    ['DISCARD', () => {
      prepared.clear()
      values = new Map()
      return acknowledge()
    }],
    ['STATUS', () => {
      const last = instance.received().at(-1)
      const role = instance.isPrimary() ? 'primary' : 'replica'
      const received = last === undefined ? `${instance.heldTerm()}.0` : `${last.term}.${last.number}`
      return respond([`DATAROW ${role} ${instance.heldTerm()} ${received} 0 ${instance.lagMs()} 0 1`, 'COMPLETE -'])
    }],
    ['STEPDOWN', ({ rest }) => {
      const primary = group.primary()
      if (Number(rest) > instance.heldTerm() && primary !== undefined && primary !== instance) instance.follow(primary)
      return acknowledge()
    }],
  ])

  return {
    open (name) {
      peer = name
      return `${ready()}\r\n`
    },
    async run (id, fullText) {
      const wait = WAIT_PREFIX.exec(fullText)
      if (wait !== null && !(await waitForPosition(wait[1]))) return refuse('LAGGING')
      const text = wait === null ? fullText : fullText.slice(wait[0].length)
      const [verb, rest = ''] = splitFields(text, 2)
      const handle = handlers.get(verb)
      if (handle === undefined || (state === 'E' && verb !== 'COMMIT' && verb !== 'ROLLBACK')) return refuse('MALFORMED')
      return await handle({ id, text, rest })
    },
    refuse,
    rollBack: endTransaction,
  }
}
