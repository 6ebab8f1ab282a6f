import { type Access } from '@briarpick/types'
import { type GroupTarget } from './createTargetGroup.js'
import { type PooledConnection } from './createStatementTargetPool.js'

/** Open transaction and the connection that it holds. */
export interface OpenTransaction {
  readonly key: string
  readonly access: Access
  readonly target: GroupTarget
  readonly connection: PooledConnection
  /** Term of the view when it began. */
  readonly term: number
  /** True once a write was sent, whether it ran or not. */
  hasWritten: boolean
  /** True once a write has succeeded, so that its COMMIT is a commit in the log. */
  hasRunWrite: boolean
  /** True while one of its statements runs. */
  isBusy: boolean
  /** Set if a rollback is requested while a statement runs, as after a disconnect of the caller; it follows when the statement ends. */
  isAbandoned: boolean
  idleSince: number
}

/** Open transactions of a home, by key. */
export interface TransactionTable {
  get: (key: string) => OpenTransaction | undefined
  add: (transaction: OpenTransaction) => void
  remove: (key: string) => void
  all: () => Iterable<OpenTransaction>
  size: () => number
}

/** Creates an empty table. */
export function createTransactionTable (): TransactionTable {
  const open = new Map<string, OpenTransaction>()
  return {
    get: (key) => open.get(key),
    add: (transaction) => { open.set(transaction.key, transaction) },
    remove: (key) => { open.delete(key) },
    all: () => [...open.values()],
    size: () => open.size,
  }
}
