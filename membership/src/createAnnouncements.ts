import { type Announcement, type DatabaseView } from '@briarpick/types'
import { targetKey } from './targetKey.js'

/** The latest announcement of each target to this proxy; those that the views of control do not reflect yet are pending. */
export interface Announcements {
  record: (announcement: Announcement, now: number) => void
  /** Returns the announcements that differ from the views; drops those older than the lifetime. */
  pending: (viewOf: (database: string) => DatabaseView | undefined, now: number) => readonly Announcement[]
  size: () => number
}

/** Options of the announcements. */
export interface AnnouncementsOptions {
  /** Time after which a target without a new announcement is removed, in ms. */
  readonly lifetimeMs: number
  /** Maximum number of targets; announcements of further ones are ignored. */
  readonly maxTargets: number
}

interface ReceivedAnnouncement {
  readonly announcement: Announcement
  readonly receivedAt: number
}

/** Creates an empty set of announcements. */
export function createAnnouncements (opts: AnnouncementsOptions): Announcements {
  const received = new Map<string, ReceivedAnnouncement>()
  return {
    record (announcement, now) {
      const key = targetKey(announcement.database, announcement.instance)
      if (!received.has(key) && received.size >= opts.maxTargets) return
      received.set(key, { announcement, receivedAt: now })
    },
    pending (viewOf, now) {
      const pending: Announcement[] = []
      for (const [key, { announcement, receivedAt }] of received) {
        if (now - receivedAt > opts.lifetimeMs) received.delete(key)
        else if (differsFromView(announcement, viewOf(announcement.database))) pending.push(announcement)
      }
      return pending
    },
    size: () => received.size,
  }
}

/**
 * True if the view lacks the target, or has a different address, state, data centre, slot count or start time for it; false
 * for an announcement of an earlier start of the target.
 */
export function differsFromView (announcement: Announcement, view: DatabaseView | undefined): boolean {
  const member = view?.members.find((candidate) => candidate.instance === announcement.instance)
  if (member === undefined) return true
  const { address, state, dataCentre, startedAt, slots } = announcement
  if (startedAt !== undefined && member.startedAt !== undefined && startedAt < member.startedAt) return false
  return member.startedAt !== startedAt || member.slots !== slots || member.state !== state || member.dataCentre !== dataCentre ||
    member.address.host !== address.host || member.address.port !== address.port
}
