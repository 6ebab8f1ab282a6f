import { type RequestOptions } from '@briarpick/statement'
import { type StatementClass } from '@briarpick/statement'
import { type TransactionStatus } from '@briarpick/pg-wire'

/** A prepared statement of a caller, kept so that it can be sent to any target connection. */
export interface PreparedStatement {
  readonly text: string
  /** Parameter types, as the caller's Parse had them. */
  readonly tail: Buffer
  readonly classes: readonly StatementClass[]
  readonly options: RequestOptions
}

/** What an entry remembers of a caller between batches. */
export interface CallerState {
  readonly statements: Map<string, PreparedStatement>
  /** Options set by `SET briarpick.…`. */
  options: RequestOptions
  status: TransactionStatus
}

/** Most prepared statements of one caller. */
export const MAX_STATEMENTS = 1000

/** The state of a caller that has just connected. */
export function createCallerState (options: RequestOptions): CallerState {
  return { statements: new Map(), options, status: 'I' }
}
