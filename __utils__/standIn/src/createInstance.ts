import { randomUUID } from 'node:crypto'
import { type Address, type TargetRole } from '@briarpick/types'
import { beginTransaction, createLedger, type LedgerRecord, SqlError, type Value } from './createLedger.js'
import { createSemaphore } from './createSemaphore.js'
import { type StandInOptions } from './standInOptions.js'

/** Most records in one reply to a replica. */
const MAX_STREAMED_RECORDS = 500

/** Offset of the last record of a term. */
interface TermEnd {
  readonly term: number
  readonly offset: number
}

/** Creates an instance: its role, term and ledger, and the SQL functions that control it. */
export function createInstance (opts: StandInOptions) {
  const ledger = createLedger()
  const incarnation = randomUUID()
  const slots = createSemaphore(opts.slots)
  const limits = { lagMs: opts.lagMs, statementMs: opts.statementMs, commitMs: 0 }
  let role: TargetRole = opts.role
  let term = opts.term
  let state: 'serving' | 'leaving' = 'serving'
  let primary = opts.primary
  let generation = 0
  let connections = 0
  let mostConnections = 0

  function setRole (nextRole: TargetRole, nextTerm: number, nextPrimary?: Address): void {
    if (nextTerm < term) throw new SqlError('55000', `term ${nextTerm} is older than this instance's term ${term}`)
    role = nextRole
    term = nextTerm
    primary = nextPrimary
    generation += 1
  }

  const functions: Readonly<Record<string, (args: readonly Value[]) => Value>> = {
    group_status: () => JSON.stringify({ instance: opts.instance, incarnation, role, term, position: ledger.position() }),
    group_promote ([nextTerm]) {
      if (role === 'primary' && term === Number(nextTerm)) return 'already'
      setRole('primary', Number(nextTerm))
      return 'promoted'
    },
    group_follow ([nextTerm, host, port]) {
      setRole('replica', Number(nextTerm), { host: String(host), port: Number(port) })
      return 'following'
    },
    stream_records: ([termEnds]) => JSON.stringify(recordsAfter(JSON.parse(String(termEnds)))),
    stand_in_log: ([from]) => JSON.stringify(ledger.records().slice(Number(from))),
    stand_in_stats: () => JSON.stringify({ mostWanted: slots.mostWanted(), statements: slots.acquired(), mostConnections, connections }),
    stand_in_set ([name, value]) {
      if (name === 'state') state = value === 'leaving' ? 'leaving' : 'serving'
      else if (name === 'lagMs' || name === 'statementMs' || name === 'commitMs') limits[name] = Number(value)
      else throw new SqlError('22023', `unknown stand-in setting ${String(name)}`)
      return 'set'
    },
  }

  /** Records that follow the longest common prefix of this log and a replica's log, which `termEnds` describes. */
  function recordsAfter (termEnds: readonly TermEnd[]) {
    if (role !== 'primary') throw new SqlError('55000', 'this instance is not a primary')
    const records = ledger.records()
    let from = Math.min(records.length, termEnds.at(-1)?.offset ?? 0)
    const termOf = (offset: number) => termEnds.find((termEnd) => offset <= termEnd.offset)?.term
    while (from > 0 && records[from - 1].term !== termOf(from)) from -= 1
    return { term, from, records: records.slice(from, from + MAX_STREAMED_RECORDS) }
  }

  return {
    opts,
    ledger,
    slots,
    /** Delays in ms that stand_in_set changes. */
    limits,
    role: () => role,
    term: () => term,
    state: () => state,
    primary: () => primary,
    /** Incremented by each promotion and each change of primary. */
    generation: () => generation,
    /** Offset of the last record of each term in the ledger, oldest term first. */
    termEnds (): TermEnd[] {
      const lastOffsets = new Map<number, number>()
      ledger.records().forEach((record, index) => lastOffsets.set(record.term, index + 1))
      return [...lastOffsets].map(([recordTerm, offset]) => ({ term: recordTerm, offset }))
    },
    /** Raises a replica's term to its primary's. */
    adoptTerm (next: number): void {
      if (role === 'replica' && next > term) term = next
    },
    applyReplicated (record: LedgerRecord): void {
      ledger.replicate(record)
    },
    /** Calls a function of the instance; throws SqlError if there is none of that name. */
    call (name: string, args: readonly Value[]): Value {
      const instanceFunction = functions[name]
      if (instanceFunction === undefined) throw new SqlError('42883', `function ${name} does not exist`)
      return instanceFunction(args)
    },
    isInstanceFunction: (name: string) => name in functions,
    addConnection (): void {
      connections += 1
      mostConnections = Math.max(mostConnections, connections)
    },
    removeConnection (): void {
      connections -= 1
    },
    isFull: () => connections >= opts.maxConnections,
    beginTransaction,
  }
}

/** An instance of a database group. */
export type Instance = ReturnType<typeof createInstance>
