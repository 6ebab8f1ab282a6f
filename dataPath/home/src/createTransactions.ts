import { type Access } from '@briarpick/types'
import { type GroupTarget } from './createTargetGroup.js'
import { type LaneConnection } from './createLane.js'

/** An open transaction and the connection that it holds. */
export interface OpenTransaction {
  readonly key: string
  readonly access: Access
  readonly target: GroupTarget
  readonly connection: LaneConnection
  /** Term of the view under which it began. */
  readonly term: number
  hasWritten: boolean
  /** True while a statement runs. */
  isBusy: boolean
  /** Set once its caller is gone; it is rolled back when its statement ends. */
  isForgotten: boolean
  idleSince: number
}

/** The open transactions of a home, by key. */
export interface Transactions {
  get: (key: string) => OpenTransaction | undefined
  add: (transaction: OpenTransaction) => void
  remove: (key: string) => void
  all: () => Iterable<OpenTransaction>
  size: () => number
}

/** Creates an empty table. */
export function createTransactions (): Transactions {
  const open = new Map<string, OpenTransaction>()
  return {
    get: (key) => open.get(key),
    add: (transaction) => { open.set(transaction.key, transaction) },
    remove: (key) => { open.delete(key) },
    all: () => [...open.values()],
    size: () => open.size,
  }
}
