import { type Announcement } from '@briarpick/types'
import { setLatest } from './setLatest.js'

/** Start of a target's process, in ms of its clock, and number of an announcement since then; 0 for what a target does not report. */
export interface AnnouncementOrder {
  readonly startedAt: number
  readonly sequence: number
}

/** The latest announcement of each target that has reached control, by which later ones are ordered. Times are in ms on one clock. */
export interface AnnouncementTracker {
  /** Records an announcement; false for one that was sent before the latest one, which is not recorded. */
  record: (announcement: Announcement, now: number) => boolean
  latest: (database: string, instance: string) => AnnouncementOrder | undefined
  /** Time of the latest announcement; -Infinity if there is none. */
  heardAt: (database: string, instance: string) => number
}

interface TrackedTarget extends AnnouncementOrder {
  readonly heardAt: number
}

/** Creates a tracker that has heard nothing. */
export function createAnnouncementTracker (): AnnouncementTracker {
  const targets = new Map<string, TrackedTarget>()

  return {
    record ({ database, instance, startedAt = 0, sequence = 0 }, now) {
      const key = keyOf(database, instance)
      const last = targets.get(key)
      if (last !== undefined && isBefore({ startedAt, sequence }, last)) return false
      setLatest(targets, key, { startedAt, sequence, heardAt: now })
      return true
    },
    latest: (database, instance) => targets.get(keyOf(database, instance)),
    heardAt: (database, instance) => targets.get(keyOf(database, instance))?.heardAt ?? -Infinity,
  }
}

function keyOf (database: string, instance: string): string {
  return `${database}/${instance}`
}

function isBefore (a: AnnouncementOrder, b: AnnouncementOrder): boolean {
  return a.startedAt < b.startedAt || (a.startedAt === b.startedAt && a.sequence < b.sequence)
}
