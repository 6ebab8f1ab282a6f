import { type Announcement, type RouteTableDocument, type SubmitRoutesResult } from '@briarpick/types'
import { viewOf } from '@briarpick/consensus-state'
import { createAnnouncementFilter } from '@briarpick/membership'
import { packRoutes, unpackRoutes } from '@briarpick/routes'
import { checkedAnnouncement } from './checkedAnnouncement.js'
import { type ControlMember } from './startControlMember.js'
import { type ControlRelay } from './createControlRelay.js'
import { type PackedRoutes, submitRoutes } from './submitRoutes.js'

/** Requests of operators and targets that any control daemon accepts, whether it leads or not. */
export interface ControlApi {
  /** Resolves once the routes are committed, or with the verdict `superseded` if a version at least as high already is. */
  submitRoutes: (routes: RouteTableDocument) => Promise<SubmitRoutesResult>
  /** Returns the current routes from a confirmed leader, null if there are none; rejects if no leader can be reached. */
  readRoutes: () => Promise<RouteTableDocument | null>
  /** Resolves once the leader has handled a target's announcement; rejects with ERR_BRIARPICK_USAGE if it names no target to use. */
  announce: (announcement: Announcement) => Promise<void>
  /** Resolves once the leader has handled the departure of a target. */
  withdraw: (instance: string) => Promise<void>
}

/** Options of the API of a control daemon. */
export interface ControlApiOptions {
  /** The member of this daemon; undefined if it has none, or none yet. */
  readonly member: () => ControlMember | undefined
  readonly relay: ControlRelay
  /** Largest difference between the clocks of two machines, in ms; absent if starts in the future are accepted. */
  readonly maxClockSkewMs?: number
}

/** Creates the API: it serves requests on this node while it leads, and forwards them to the leader otherwise. */
export function createControlApi (opts: ControlApiOptions): ControlApi {
  const { relay, maxClockSkewMs } = opts
  const filter = createAnnouncementFilter()
  const leading = (): ControlMember | undefined => {
    const member = opts.member()
    return member?.node.isReady() === true ? member : undefined
  }

  return {
    async submitRoutes (routes) {
      const packed = packRoutes(routes)
      const leader = leading()
      if (leader !== undefined) return await submitRoutes(leader, routes, packed)
      return await relay.request('routes.submit', { packed })
    },
    async readRoutes () {
      const leader = leading()
      if (leader !== undefined) return leader.node.state().routes
      const response = await relay.request<PackedRoutes | null>('routes.read', {})
      return response === null ? null : unpackRoutes(response.packed)
    },
    async announce (raw) {
      const announcement = checkedAnnouncement(raw, maxClockSkewMs)
      const member = opts.member()
      const view = member === undefined ? 'unknown' : viewOf(member.node.state(), announcement.database)
      if (!filter.mustForward(announcement, view, performance.now())) return
      const leader = leading()
      const counts = leader !== undefined
        ? await leader.duties.announce(announcement)
        : await relay.request<boolean>('targets.announce', announcement)
      // A target whose announcements do not count goes on announcing itself if it runs, and the leader must hear that.
      if (counts) filter.recordForwarded(announcement, performance.now())
    },
    async withdraw (instance) {
      filter.forget(instance)
      const leader = leading()
      if (leader !== undefined) leader.duties.withdraw(instance)
      else await relay.request('targets.withdraw', { instance })
    },
  }
}
