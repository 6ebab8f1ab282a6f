import { type StatementRequest } from '@briarpick/types'
import { type LinkResult } from '@briarpick/statement-link'

/** A home that can be reached now, here or over a link. */
export interface ReachedHome {
  /** Differs whenever the database has another home. */
  readonly epoch: number
  run: (request: StatementRequest) => Promise<LinkResult>
  forget: (transaction: string) => void
}

/** Finds homes of databases. */
export interface HomeFinder {
  find: (database: string) => ReachedHome | undefined
  /** True while news of moved homes come; without them, waiting for another home is in vain. */
  isInTouch: () => boolean
  /** Resolves when the view of the database changes, or after the time; asks control for news meanwhile. */
  changed: (database: string, timeoutMs: number) => Promise<void>
}
