import { type StatementRequest } from '@briarpick/types'
import { maxAdmittedWaitMs, type PriorityWait } from '@briarpick/statement-home'

/** The expected waits that homes have told this entry, for the load of a home that is full: what it would refuse is not sent to it. */
export interface WaitBoard {
  /** Records the waits of a home; an empty list if nothing waits there. */
  record: (database: string, epoch: number, waits: readonly PriorityWait[], now: number) => void
  /** Time after which a request that the home would refuse now may be sent to it, in ms; 0 if it may be sent at once. */
  refusedForMs: (request: StatementRequest, epoch: number, now: number) => number
}

interface HomeWaits {
  readonly epoch: number
  readonly waits: readonly PriorityWait[]
  readonly recordedAt: number
}

/**
 * Part of its time to the latency target that a request must have left, so that the home surely judges it by that: one that will be
 * late in any case may wait longer there.
 */
const FRESH_FRACTION = 0.5
/** Fractional part of the golden ratio: its multiples spread evenly over an interval. */
const GOLDEN_FRACTION = 0.618_033_988_749_895

/** Creates an empty board. */
export function createWaitBoard (): WaitBoard {
  const byDatabase = new Map<string, HomeWaits>()
  let spread = 0

  /** Expected wait for a priority, less the time since it was told, in ms. */
  function waitOf ({ waits, recordedAt }: HomeWaits, priority: number, now: number): number {
    let waitMs = 0
    for (const each of waits) if (each.priority <= priority) waitMs = Math.max(waitMs, each.waitMs)
    return Math.max(0, waitMs - (now - recordedAt))
  }

  return {
    record (database, epoch, waits, now) {
      if (waits.length === 0) byDatabase.delete(database)
      else byDatabase.set(database, { epoch, waits, recordedAt: now })
    },
    refusedForMs ({ database, priority, aimMs, ageMs, deadlineMs }, epoch, now) {
      const known = byDatabase.get(database)
      if (known === undefined || known.epoch !== epoch) return 0
      const waitMs = waitOf(known, priority, now)
      const slackMs = aimMs - ageMs
      const mayBeLate = slackMs < aimMs * FRESH_FRACTION
      const excessMs = waitMs - maxAdmittedWaitMs({ remainingMs: deadlineMs, slackMs: mayBeLate ? 0 : slackMs })
      if (excessMs <= 0) return 0
      spread = (spread + GOLDEN_FRACTION) % 1
      return Math.min(deadlineMs, excessMs + spread * waitMs)
    },
  }
}
