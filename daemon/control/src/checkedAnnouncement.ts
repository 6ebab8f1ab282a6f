import { type Announcement } from '@briarpick/types'
import { checkAnnouncement } from '@briarpick/membership'

/** Validates an announcement, by one schema whether a target sent it here or to another control node. Throws ERR_BRIARPICK_USAGE. */
export function checkedAnnouncement (raw: unknown, maxClockSkewMs: number | undefined): Announcement {
  const announcement = checkAnnouncement(raw, maxClockSkewMs === undefined ? Infinity : Date.now() + maxClockSkewMs)
  if (announcement.isErr) throw announcement.error
  return announcement.value
}
