import { createReceiveBudget, type ReceiveBudget } from '@briarpick/receive-budget'
import { type CallerQueues, createCallerQueues } from './createCallerQueues.js'
import { createTurns, type Turns } from './createTurns.js'

/** What all callers of a process share of its memory and its time. */
export interface CallerShares<M> {
  readonly queues: CallerQueues<M>
  /** Counts what callers have sent of messages that are not complete, and what waits for its turn to be read. */
  readonly budget: ReceiveBudget
  /** Turns in which callers are read that send much at once. */
  readonly turns: Turns
  readonly close: () => void
}

/** Bytes of messages that callers of a process have begun; beyond it the one that moved least for its size loses its connection. */
const MAX_PARTIAL_TOTAL_BYTES = 16 * 1024 * 1024
/** Bytes of answers that all callers of a process may leave unread; beyond it the one with the most loses its connection. */
export const MAX_UNREAD_TOTAL_BYTES = 32 * 1024 * 1024

/** Creates the shares of a process without callers. */
export function createCallerShares<M> (): CallerShares<M> {
  const budget = createReceiveBudget({ maxBytes: MAX_PARTIAL_TOTAL_BYTES })
  return { queues: createCallerQueues<M>(), budget, turns: createTurns(), close: budget.close }
}
