import { type StatementRequest } from '@briarpick/types'
import { type StatementLinkResult } from '@briarpick/statement-link'

/** A home that can be reached now, here or over a link. */
export interface StatementHomeClient {
  /** Differs whenever the database has another home. */
  readonly epoch: number
  run: (request: StatementRequest) => Promise<StatementLinkResult>
  rollBack: (transaction: string) => void
}

/** Finds homes of databases. */
export interface StatementHomeResolver {
  find: (database: string) => StatementHomeClient | undefined
  /** True while news of moved homes come; without them, waiting for another home is in vain. */
  isControlReachable: () => boolean
  /** Resolves when the view of the database changes, or after the time; asks control for news meanwhile. */
  changed: (database: string, timeoutMs: number) => Promise<void>
}
