import { type DatabaseView, type HomeReport, type LogPosition, type StatementReply, type StatementRequest, type TransactionState } from '@briarpick/types'
import { type Metrics } from '@briarpick/metrics'
import { type TeamLimiter } from '@briarpick/team-limits'
import { type TargetDriver } from './targetDriver.js'

/** Reply to a statement and the state of its transaction after it. */
export interface StatementOutcome {
  readonly reply: StatementReply
  readonly state: TransactionState
  /** Expected waits at the home, by priority; absent if nothing waits, or in a deployment without teams. */
  readonly waits?: readonly PriorityWait[]
}

/** Expected wait of a request of a priority whose team has no waiting work, in ms. */
export interface PriorityWait {
  readonly priority: number
  readonly waitMs: number
}

/** The home of one database. */
export interface StatementHome {
  /**
   * Runs a statement. Transactions are looked up by key, regardless of the connection that the statement arrived on. Once the signal
   * is aborted, a statement outside a transaction that still waits is not begun.
   */
  run: (request: StatementRequest, signal?: AbortSignal) => Promise<StatementOutcome>
  /** Rolls back a transaction whose caller has disconnected. */
  rollBack: (transaction: string) => void
  setView: (view: DatabaseView) => void
  report: () => HomeReport
  /**
   * Hands the database over: rejects new requests, waits up to `timeoutMs` for statements outside transactions, then reports
   * the database as released so that the next home can start. Open transactions, and writes that run longer, continue here;
   * each of them is acknowledged only after the next home has recorded it.
   */
  release: (timeoutMs: number) => Promise<void>
  /** Number of open transactions. */
  transactions: () => number
  /** Number of requests that wait for slots. */
  waiting: () => number
  /** True while a write, or the COMMIT of a transaction with writes, waits for its response. */
  hasPendingWrites: () => boolean
  hasTransaction: (key: string) => boolean
  /** Records a commit that completed at a previous home; false if it must not be acknowledged. */
  acknowledgeForPreviousHome: (term: number, position: LogPosition) => boolean
  close: () => void
}

/** Limits of a home. Read again on each use, since they follow the current routes. */
export interface HomeLimits {
  /** Maximum number of connections to one target. */
  readonly maxConnections: number
  /** Time after which an idle transaction is rolled back, in ms. */
  readonly transactionIdleMs: number
  /**
   * True if callers belong to teams: the home then serves them fairly, and connections are opened when a team needs them, instead of
   * in advance.
   */
  readonly hasTeams: boolean
}

/** Options of a home. */
export interface StatementHomeOptions {
  readonly view: DatabaseView
  readonly epoch: number
  /** Data centre of this home. */
  readonly dataCentre: string
  readonly driver: TargetDriver
  readonly limits: () => HomeLimits
  /** Limits the operations of teams; absent if no team has a limit. */
  readonly teamLimiter?: TeamLimiter
  /** True if targets may look healthy and be slow or fail: outliers among them are then held back. */
  readonly ejectsOutliers: boolean
  /** End of the lease in ms of `now`; -Infinity once a later epoch is known. */
  readonly leaseEnd: () => number
  /** Has the next home record a commit; resolves to false if the commit must not be acknowledged. */
  readonly acknowledgeAtNextHome: (term: number, position: LogPosition) => Promise<boolean>
  /** Called when the report has changed, so that the lease is renewed, and the report sent, early. */
  readonly onReportChange: () => void
  readonly metrics: Metrics
  /** Monotonic time in ms, including time for which the machine was suspended. */
  readonly now: () => number
}
