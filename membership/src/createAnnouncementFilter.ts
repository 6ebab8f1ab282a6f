import { type Announcement, type DatabaseView } from '@briarpick/types'
import { differsFromView } from './createAnnouncements.js'
import { setLatest } from './setLatest.js'

/** Selects the announcements that a control daemon forwards to the leader, as a target repeats itself about once a second. */
export interface AnnouncementFilter {
  /**
   * True if the leader may not know the announcement: its content was not forwarded within the last `ANNOUNCEMENT_REFRESH_MS`, or the
   * view lacks it. `view` is `unknown` on a daemon without a copy of control's state.
   */
  mustForward: (announcement: Announcement, view: DatabaseView | undefined | 'unknown', now: number) => boolean
  /** Records that the leader has handled an announcement. */
  recordForwarded: (announcement: Announcement, now: number) => void
  /** Forgets a target that leaves. */
  forget: (instance: string) => void
}

interface Forwarded {
  readonly content: string
  readonly at: number
}

/** Time after which an unchanged announcement is forwarded again, in ms. */
export const ANNOUNCEMENT_REFRESH_MS = 5000

/** Creates a filter that has forwarded nothing; times are in ms on one clock. */
export function createAnnouncementFilter (): AnnouncementFilter {
  const forwarded = new Map<string, Forwarded>()
  return {
    mustForward (announcement, view, now) {
      if (view !== 'unknown' && differsFromView(announcement, view)) return true
      const last = forwarded.get(announcement.instance)
      return last === undefined || last.content !== contentOf(announcement) || now - last.at >= ANNOUNCEMENT_REFRESH_MS
    },
    recordForwarded (announcement, now) {
      setLatest(forwarded, announcement.instance, { content: contentOf(announcement), at: now })
    },
    forget (instance) {
      forwarded.delete(instance)
    },
  }
}

/** Serializes an announcement without its sequence, which increases each time, to detect unchanged announcements. */
function contentOf (announcement: Announcement): string {
  return JSON.stringify({ ...announcement, sequence: 0 })
}
