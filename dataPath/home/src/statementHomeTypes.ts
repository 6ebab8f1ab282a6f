import { type DatabaseView, type HomeReport, type StatementReply, type StatementRequest, type TransactionState } from '@briarpick/types'
import { type Metrics } from '@briarpick/metrics'
import { type TargetDriver } from './targetDriver.js'

/** A reply and where the transaction stands after it. */
export interface HomeOutcome {
  readonly reply: StatementReply
  readonly state: TransactionState
}

/** The home of one database. */
export interface StatementHome {
  /** Runs a statement. Transactions are found by their key, whichever connection the statement came on. */
  run: (request: StatementRequest) => Promise<HomeOutcome>
  /** Rolls a transaction back whose caller is gone. */
  forget: (transaction: string) => void
  setView: (view: DatabaseView) => void
  report: () => HomeReport
  /** Takes no new work, lets what is at work end, and closes all connections. */
  release: (timeoutMs: number) => Promise<void>
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
  readonly driver: TargetDriver
  readonly limits: () => HomeLimits
  /** True while the lease holds and no later epoch is known. */
  readonly mayAct: () => boolean
  /** Asks for a renewal at once, since the report has news. */
  readonly onNews: () => void
  readonly metrics: Metrics
  /** Elapsed time in ms, suspension included. */
  readonly now: () => number
}
