import { type DatabaseView, type HomeReport, type LogPosition, type StatementReply, type StatementRequest, type TransactionState } from '@briarpick/types'
import { type Metrics } from '@briarpick/metrics'
import { type TargetDriver } from './targetDriver.js'

/** A reply and where the transaction stands after it. */
export interface StatementOutcome {
  readonly reply: StatementReply
  readonly state: TransactionState
}

/** The home of one database. */
export interface StatementHome {
  /** Runs a statement. Transactions are found by their key, whichever connection the statement came on. */
  run: (request: StatementRequest) => Promise<StatementOutcome>
  /** Rolls a transaction back whose caller is gone. */
  rollBack: (transaction: string) => void
  setView: (view: DatabaseView) => void
  report: () => HomeReport
  /**
   * Gives the database up: takes no new work, lets single statements end, and then lets the next home begin. Open transactions
   * go on here; their commits are acknowledged with the next home's leave.
   */
  release: (timeoutMs: number) => Promise<void>
  /** Open transactions. */
  transactions: () => number
  hasTransaction: (key: string) => boolean
  /** Notes a commit that ended at an earlier home; false if it may not be acknowledged. */
  acknowledgeForPreviousHome: (term: number, position: LogPosition) => boolean
  close: () => void
}

/** Limits of a home; read anew each time, since they follow the routes in force. */
export interface HomeLimits {
  /** Connections to one target. */
  readonly maxConnections: number
  /** Time after which an idle transaction is ended, in ms. */
  readonly transactionIdleMs: number
}

/** Options of a home. */
export interface StatementHomeOptions {
  readonly view: DatabaseView
  readonly epoch: number
  /** Data centre of this home. */
  readonly dataCentre: string
  readonly driver: TargetDriver
  readonly limits: () => HomeLimits
  /** True while the lease holds and no later epoch is known. */
  readonly mayAct: () => boolean
  /** Asks the home after this one for leave to acknowledge a commit. */
  readonly acknowledgeAtNextHome: (term: number, position: LogPosition) => Promise<boolean>
  /** Asks for a renewal at once, since the report has news. */
  readonly onReportChanged: () => void
  readonly metrics: Metrics
  /** Elapsed time in ms, suspension included. */
  readonly now: () => number
}
