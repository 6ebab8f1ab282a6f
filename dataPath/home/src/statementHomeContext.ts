import { type DatabaseView, type Freshness, type LogPosition, type StatementRequest } from '@briarpick/types'
import { type AckHistory, type WriteSending } from './createAckHistory.js'
import { type FreshnessRequirement } from './chooseReadTarget.js'
import { type TargetGroup } from './createTargetGroup.js'
import { type TransactionTable } from './createTransactionTable.js'
import { type StatementHomeOptions } from './statementHomeTypes.js'
import { type WriteTracker } from './createWriteTracker.js'

/** Initial estimate of the time that a statement holds a slot, in ms: the usual service time of a database target. */
export const INITIAL_SERVICE_TIME_MS = 15

/** State and functions shared by the parts of one statement home. */
export interface StatementHomeContext {
  readonly database: string
  readonly opts: StatementHomeOptions
  readonly view: () => DatabaseView
  readonly group: TargetGroup
  readonly history: AckHistory
  readonly transactions: TransactionTable
  readonly writes: WriteTracker
  /** True while this home may use targets: it holds the lease and the epoch, and has not released the database. */
  readonly isActive: () => boolean
  /** True if a request may start: while this home is active, or by `mayReadAfterLease`; none while it is being handed over. */
  readonly accepts: (request: StatementRequest) => boolean
  /** True while the view is open and no replacement of the primary is in progress or being prepared. */
  readonly acceptsWrites: () => boolean
  /**
   * Records a write of a term as acknowledged; false if it must not be. Delegates to the next home once this one is released.
   */
  readonly acknowledge: (term: number, position: LogPosition, sent: WriteSending) => Promise<boolean>
  /** Expected time until a new primary serves, in ms; undefined if no replacement is in progress. */
  readonly successorExpectedMs: () => number | undefined
  /** True shortly after the start, while the state of the targets is still being discovered. */
  readonly isStarting: () => boolean
  readonly now: () => number
}

/** True if a request does not need the primary: a read, or a read-only transaction. */
export function isReadRequest ({ begins, action }: StatementRequest): boolean {
  if (begins !== null) return begins === 'read'
  return action.kind !== 'commit' && action.kind !== 'rollback' && action.access === 'read'
}

/** True if the request is a statement that may write. */
export function isWriteRequest ({ action }: StatementRequest): boolean {
  return (action.kind === 'query' || action.kind === 'execute') && action.access === 'write'
}

/** True if the primary may be sent writes now. */
export function canWrite ({ acceptsWrites, group, history }: StatementHomeContext): boolean {
  return acceptsWrites() && group.isPrimaryUsable() && history.isFloorKnown()
}

/** What a read requires of a target; undefined while the floor is not known. */
export function freshnessRequirement (
  context: StatementHomeContext, { freshness }: StatementRequest, excluded: ReadonlySet<string>
): FreshnessRequirement | undefined {
  const required = requiredPosition(context, freshness)
  if (required === undefined) return undefined
  return { required, requiredAgeMs: context.history.ageOf(required, context.now()), excluded }
}

/** Position that a read must observe now; undefined while the floor is not known. */
export function requiredPosition (context: StatementHomeContext, freshness: Freshness): LogPosition | undefined {
  return context.history.requiredPosition(freshness, context.now())
}
