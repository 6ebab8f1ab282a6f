import { type Announcement, type DatabaseView } from '@briarpick/types'
import { hasDeparted, viewOf } from '@briarpick/consensus-state'
import { type AnnouncementStanding, createAnnouncementTracker, differsFromView } from '@briarpick/membership'
import { granterMs } from '@briarpick/clock'
import { createLogger } from '@briarpick/logs'
import { type Metrics } from '@briarpick/metrics'
import { type ControlNode } from './createControlNode.js'

/** What targets have said of themselves to this node while it leads. */
export interface TargetAnnouncements {
  /**
   * Handles a target's announcement; resolves once it is committed, or at once if it changes nothing. False if it does not count, as a
   * later one has arrived or its process has left.
   */
  announce: (announcement: Announcement) => Promise<boolean>
  /** Records that a target says it leaves; it is removed once its home finds that it has ended. */
  withdraw: (instance: string) => void
  /** Time of the latest announcement of a target, in ms on this node's elapsed clock; -Infinity if there is none. */
  announcedAt: (database: string, instance: string) => number
  /** True if a target has said that it leaves, and no process of it that serves has announced itself since. */
  hasWithdrawn: (database: string, instance: string, memberStartedAt?: number) => boolean
}

/** Options of `createTargetAnnouncements`. */
export interface TargetAnnouncementsOptions {
  readonly node: Pick<ControlNode, 'state' | 'propose'>
  readonly metrics: Metrics
  /** Notifies a proxy to renew at once. */
  readonly poke: (proxy: string | undefined) => void
}

const log = createLogger('control:duties')

/** Creates the announcements of a leader that has heard none. */
export function createTargetAnnouncements ({ node, metrics, poke }: TargetAnnouncementsOptions): TargetAnnouncements {
  const tracker = createAnnouncementTracker()

  async function announce (announcement: Announcement): Promise<boolean> {
    const { database, instance, startedAt, sequence } = announcement
    const view = viewOf(node.state(), database)
    const last = tracker.latest(database, instance)
    const standing = standingOf(announcement, view)
    if (standing !== 'latest') {
      metrics.count('events', `announcement_${standing}`)
      const event = standing === 'prevails' ? 'announcementPrevails' : 'announcementIgnored'
      const lastOrder = { lastStartedAt: last?.startedAt, lastSequence: last?.sequence }
      log(event, { database, instance, reason: standing, startedAt, sequence, ...lastOrder })
      if (standing !== 'prevails') return false
    } else if (!differsFromView(announcement, view)) return true
    await node.propose({ kind: 'joinTarget', announcement })
    log('targetAnnounced', { database, instance, state: announcement.state, startedAt, sequence })
    poke(viewOf(node.state(), database)?.home?.proxy)
    return true
  }

  /** Whether an announcement counts; `departed` if its process has left. */
  function standingOf (announcement: Announcement, view: DatabaseView | undefined): AnnouncementStanding | 'departed' {
    if (view !== undefined && hasDeparted(view, announcement)) return 'departed'
    const member = view?.members.find(({ instance }) => instance === announcement.instance)
    // A target that does not report its start can't be ordered by that of the view.
    return tracker.record(announcement, granterMs(), announcement.startedAt === undefined ? undefined : member?.startedAt)
  }

  function withdraw (instance: string): void {
    for (const { database, members, home } of Object.values(node.state().views)) {
      const member = members.find((each) => each.instance === instance)
      if (member === undefined) continue
      tracker.recordWithdrawal(database, instance, member.startedAt)
      log('targetWithdrawn', { database, instance, state: member.state, startedAt: member.startedAt })
      poke(home?.proxy)
    }
  }

  return {
    announce,
    withdraw,
    announcedAt: tracker.heardAt,
    hasWithdrawn: tracker.hasWithdrawn,
  }
}
