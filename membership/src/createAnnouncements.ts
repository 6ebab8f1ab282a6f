import { type Announcement, type DatabaseView } from '@briarpick/types'

/** What targets announced to this proxy, and which of it control does not know yet. */
export interface Announcements {
  record: (announcement: Announcement, now: number) => void
  /** Announcements that differ from the views; those not heard for the lifetime are forgotten. */
  pending: (viewOf: (database: string) => DatabaseView | undefined, now: number) => readonly Announcement[]
  size: () => number
}

/** Options of announcements. */
export interface AnnouncementsOptions {
  /** Time after which a target that stays silent is forgotten, in ms. */
  readonly lifetimeMs: number
  /** Most targets that are kept. */
  readonly maxTargets: number
}

interface Heard {
  readonly announcement: Announcement
  readonly at: number
}

/** Creates an empty list. */
export function createAnnouncements (opts: AnnouncementsOptions): Announcements {
  const heard = new Map<string, Heard>()
  return {
    record (announcement, now) {
      const key = `${announcement.database}/${announcement.instance}`
      if (!heard.has(key) && heard.size >= opts.maxTargets) return
      heard.set(key, { announcement, at: now })
    },
    pending (viewOf, now) {
      const news: Announcement[] = []
      for (const [key, { announcement, at }] of heard) {
        if (now - at > opts.lifetimeMs) heard.delete(key)
        else if (differsFromView(announcement, viewOf(announcement.database))) news.push(announcement)
      }
      return news
    },
    size: () => heard.size,
  }
}

/** True if a view lacks the target, or has another address or state of it. */
export function differsFromView (announcement: Announcement, view: DatabaseView | undefined): boolean {
  const member = view?.members.find((candidate) => candidate.instance === announcement.instance)
  if (member === undefined) return true
  const { address, state, dataCentre, startedAt, slots } = announcement
  if (startedAt !== undefined && member.startedAt !== undefined && startedAt < member.startedAt) return false
  return member.startedAt !== startedAt || member.slots !== slots || member.state !== state || member.dataCentre !== dataCentre ||
    member.address.host !== address.host || member.address.port !== address.port
}
