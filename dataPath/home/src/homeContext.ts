import { type DatabaseView, type Freshness, type LogPosition, type StatementRequest } from '@briarpick/types'
import { type AckHistory } from './createAckHistory.js'
import { type TargetGroup } from './createTargetGroup.js'
import { type Transactions } from './createTransactions.js'
import { type StatementHomeOptions } from './statementHomeTypes.js'

/** Time that a statement is taken to hold a slot before any was seen, in ms: the usual work on targets of databases. */
export const FIRST_WORK_MS = 15

/** What the parts of one home share. */
export interface HomeContext {
  readonly database: string
  readonly opts: StatementHomeOptions
  readonly view: () => DatabaseView
  readonly group: TargetGroup
  readonly history: AckHistory
  readonly transactions: Transactions
  /** True while this home may use targets: it has the lease and the epoch, and has not given the database up. */
  readonly mayAct: () => boolean
  /** True while new work is taken. */
  readonly takesNew: () => boolean
  /** True while the primary takes writes: none is being replaced or about to be. */
  readonly takesWrites: () => boolean
  /** Notes a write of a term as acknowledged; false if it may not be. Asks the next home once this one has been released. */
  readonly acknowledge: (term: number, position: LogPosition) => Promise<boolean>
  /** Time until a primary that is being replaced is expected to have a successor, in ms; undefined if none is on its way. */
  readonly primaryExpectedMs: () => number | undefined
  /** True while the home has just begun and still learns about its targets. */
  readonly isStarting: () => boolean
  readonly now: () => number
}

/** True if a request needs no primary: a read, or a transaction that only reads. */
export function isReadRequest ({ begins, action }: StatementRequest): boolean {
  if (begins !== null) return begins === 'read'
  return action.kind !== 'commit' && action.kind !== 'rollback' && action.access === 'read'
}

/** True if success of the request makes writes last. */
export function isWriteRequest ({ action }: StatementRequest): boolean {
  return (action.kind === 'query' || action.kind === 'execute') && action.access === 'write'
}

/** Position that a read must see now; undefined while that is not known. */
export function requiredPosition (context: HomeContext, freshness: Freshness): LogPosition | undefined {
  return context.history.required(freshness, context.now())
}
