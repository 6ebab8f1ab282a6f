import { type Announcement } from '@briarpick/types'
import { setLatest } from './setLatest.js'
import { targetKey } from './targetKey.js'

/** Start of a target's process, in ms of its clock, and number of an announcement since then; 0 for what a target does not report. */
export interface AnnouncementOrder {
  readonly startedAt: number
  readonly sequence: number
}

/**
 * What an announcement is, beside those before it: the latest one; one that was sent before the latest one; or one that prevails, since
 * its process goes on announcing itself and the one that claimed to be later does not.
 */
export type AnnouncementStanding = 'latest' | 'outdated' | 'prevails'

/** The latest announcement of each target that has reached control, by which later ones are ordered. Times are in ms on one clock. */
export interface AnnouncementTracker {
  /** Records an announcement; `memberStartedAt` is the start of the target's process in the view, if there is one. */
  record: (announcement: Announcement, now: number, memberStartedAt?: number) => AnnouncementStanding
  /** Records that a target says it leaves; `memberStartedAt` as for `record`. */
  recordWithdrawal: (database: string, instance: string, memberStartedAt?: number) => void
  /** True if the target's process in the view has said that it leaves, and no announcement shows a process that serves since then. */
  hasWithdrawn: (database: string, instance: string, memberStartedAt?: number) => boolean
  latest: (database: string, instance: string) => AnnouncementOrder | undefined
  /** Time of the latest announcement; -Infinity if there is none. */
  heardAt: (database: string, instance: string) => number
}

interface TrackedTarget extends AnnouncementOrder {
  readonly heardAt: number
  readonly hasWithdrawn?: boolean
  /** Later start of the entry over which this process has prevailed; the view may still have it. */
  readonly prevailedOver?: number
  /** The last announcement sent before the latest one, and the time of the first one of its process since the latest one arrived. */
  readonly outdated?: AnnouncementOrder & { readonly since: number }
}

/**
 * Time for which a process must go on announcing itself, while nothing is heard of the one that claimed to be later, before it
 * prevails, in ms. A running process is heard every 6 s, as control daemons pass unchanged announcements on every 5 s; announcements
 * of an ended process that were held up arrive within less.
 */
export const PREVAILS_AFTER_MS = 10_000

/** Creates a tracker that has heard nothing. */
export function createAnnouncementTracker (): AnnouncementTracker {
  const targets = new Map<string, TrackedTarget>()

  /** What is known of a target. Another leader may have added a later process to the view since this one heard of it. */
  function latestOf (key: string, memberStartedAt = 0): TrackedTarget {
    const tracked = targets.get(key)
    const isCurrent = tracked !== undefined && (memberStartedAt <= tracked.startedAt || memberStartedAt === tracked.prevailedOver)
    return isCurrent ? tracked : { startedAt: memberStartedAt, sequence: 0, heardAt: -Infinity, outdated: tracked?.outdated }
  }

  return {
    record ({ database, instance, state, startedAt = 0, sequence = 0 }, now, memberStartedAt) {
      const key = targetKey(database, instance)
      const order = { startedAt, sequence }
      const last = latestOf(key, memberStartedAt)
      if (!isBefore(order, last)) {
        const isSameProcess = startedAt === last.startedAt
        // The last announcements of a process that leaves may arrive after its withdrawal.
        const hasWithdrawn = isSameProcess && last.hasWithdrawn === true && state === 'leaving'
        const prevailedOver = isSameProcess ? last.prevailedOver : undefined
        setLatest(targets, key, { ...order, heardAt: now, hasWithdrawn, prevailedOver })
        return prevailedOver !== undefined && prevailedOver === memberStartedAt ? 'prevails' : 'latest'
      }
      const before = last.outdated?.startedAt === startedAt ? last.outdated : { ...order, since: now }
      if (sequence > before.sequence && now - before.since >= PREVAILS_AFTER_MS) {
        setLatest(targets, key, { ...order, heardAt: now, prevailedOver: last.startedAt > startedAt ? last.startedAt : undefined })
        return 'prevails'
      }
      setLatest(targets, key, { ...last, outdated: { ...before, sequence: Math.max(sequence, before.sequence) } })
      return 'outdated'
    },
    recordWithdrawal (database, instance, memberStartedAt) {
      const key = targetKey(database, instance)
      setLatest(targets, key, { ...latestOf(key, memberStartedAt), hasWithdrawn: true })
    },
    hasWithdrawn: (database, instance, memberStartedAt) => latestOf(targetKey(database, instance), memberStartedAt).hasWithdrawn === true,
    latest: (database, instance) => targets.get(targetKey(database, instance)),
    heardAt: (database, instance) => targets.get(targetKey(database, instance))?.heardAt ?? -Infinity,
  }
}

function isBefore (a: AnnouncementOrder, b: AnnouncementOrder): boolean {
  return a.startedAt < b.startedAt || (a.startedAt === b.startedAt && a.sequence < b.sequence)
}
