import { type StatementRequest } from '@briarpick/types'
import { type StatementLinkResult } from '@briarpick/statement-link'

/** Client of a home of a database, in this process or over a link. */
export interface StatementHomeClient {
  /** Epoch of the home; changes whenever another home is assigned to the database. */
  readonly epoch: number
  /** Runs a request; not begun if it still waits when the signal is aborted. */
  run: (request: StatementRequest, signal?: AbortSignal) => Promise<StatementLinkResult>
  /** Time since the home last answered, in ms, if it is silent or cannot be connected; otherwise 0. */
  unresponsiveMs: () => number
  /** Rolls back an open transaction, without waiting for the result. */
  rollBack: (transaction: string) => void
}

/** Locates the homes of databases. */
export interface StatementHomeFinder {
  /** The current home of a database; undefined if none is known. */
  find: (database: string) => StatementHomeClient | undefined
  /** False if control can't be reached: no newly assigned home will then become known, so waiting for one is pointless. */
  isControlReachable: () => boolean
  /** Requests newer views from control. Resolves when the view of the database changes, or after `timeoutMs` at the latest. */
  waitForChange: (database: string, timeoutMs: number) => Promise<void>
}
