import { type QueuedWork } from './createWorkQueue.js'

/** Waiting work with what fair shares are computed from. If `canStart` is false, all work of its team in the lane is passed over. */
export interface FairWork extends QueuedWork {
  /** Team that it is for; null for all callers without one. */
  readonly team: string | null
  /** Name of the targets that can serve it. */
  readonly lane: string
  /** True if one of these has a free slot; the same for all work of a lane. */
  readonly hasSlot: () => boolean
  /** Expected time in a slot, in ms. */
  readonly costMs: number
}

/** Waiting work and its place in a list. */
export interface WorkNode {
  readonly work: FairWork
  /** Increases with each arrival. */
  readonly sequence: number
  previous: WorkNode | undefined
  next: WorkNode | undefined
  /** The list that holds it; undefined while it is in none. */
  list: WorkList | undefined
  /** True until it is started or removed. */
  isWaiting: boolean
  /** True once it is counted among the work that cannot be on time. */
  isCountedLate: boolean
}

/** Linked list of work in order of arrival. */
export interface WorkList {
  first: WorkNode | undefined
  last: WorkNode | undefined
}

/** Creates an empty list. */
export function createWorkList (): WorkList {
  return { first: undefined, last: undefined }
}

/** Creates a node that is in no list. */
export function createNode (work: FairWork, sequence: number): WorkNode {
  return { work, sequence, previous: undefined, next: undefined, list: undefined, isWaiting: true, isCountedLate: false }
}

/** Inserts a node by its sequence; cheap near both ends. */
export function insertNode (list: WorkList, node: WorkNode): void {
  const previous = predecessorOf(list, node.sequence)
  const next = previous === undefined ? list.first : previous.next
  node.previous = previous
  node.next = next
  node.list = list
  if (previous === undefined) list.first = node
  else previous.next = node
  if (next === undefined) list.last = node
  else next.previous = node
}

/** Removes a node from the list that holds it, if any. */
export function removeNode (node: WorkNode): void {
  const { list, previous, next } = node
  if (list === undefined) return
  if (previous === undefined) list.first = next
  else previous.next = next
  if (next === undefined) list.last = previous
  else next.previous = previous
  node.previous = undefined
  node.next = undefined
  node.list = undefined
}

/** The node after which one with this sequence belongs; undefined if it belongs first. */
function predecessorOf ({ first, last }: WorkList, sequence: number): WorkNode | undefined {
  if (first === undefined || sequence < first.sequence) return undefined
  let node = last
  while (node !== undefined && node.sequence > sequence) node = node.previous
  return node
}
