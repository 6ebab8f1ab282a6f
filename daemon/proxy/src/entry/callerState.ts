import { type RequestOptions } from '@briarpick/statement'
import { type StatementClass } from '@briarpick/statement'
import { type TransactionStatus } from '@briarpick/pg-wire'

/** A caller's prepared statement, stored so that it can be parsed on any target connection. */
export interface PreparedStatement {
  readonly text: string
  /** Parameter types in the encoding of the caller's Parse message. */
  readonly tail: Buffer
  readonly classes: readonly StatementClass[]
  readonly options: RequestOptions
}

/** State of a caller that the entry keeps between batches. */
export interface CallerState {
  /** Prepared statements by the caller's name; the unnamed one is `''`. */
  readonly statements: Map<string, PreparedStatement>
  /** Options set by the startup message and `SET briarpick.…`. */
  options: RequestOptions
  status: TransactionStatus
}

/** Maximum number of prepared statements of a caller. */
export const MAX_PREPARED_STATEMENTS = 1000

/** Creates the state of a new caller, with the options of its startup message. */
export function createCallerState (options: RequestOptions): CallerState {
  return { statements: new Map(), options, status: 'I' }
}
