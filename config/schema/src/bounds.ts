import * as z from 'zod'
import { MAX_TIMER_MS } from '@briarpick/types'

/** Largest number of things that a deployment can have of one kind, such as connections, replicas or queued requests. */
export const MAX_COUNT = 1_000_000

/** Schema of a time in ms that may become the delay of a timer. */
export const timerMs = z.number().min(0).max(MAX_TIMER_MS)

/** Schema of a number of things, of which there are at least `min`. */
export function countFrom (min: number) {
  return z.int().min(min).max(MAX_COUNT)
}
