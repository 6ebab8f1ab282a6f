import { packRoutes, unpackRoutes } from '@briarpick/routes'
import { type Peer, type RpcHandlers } from '@briarpick/rpc'
import { checkedAnnouncement } from './checkedAnnouncement.js'
import { type ControlMember } from './startControlMember.js'
import { notLeaderError } from './createControlNode.js'
import { checkJoinRequest, checkRaftEnvelope, checkRenewRequest } from './requestSchemas.js'
import { type PackedRoutes, submitRoutes } from './submitRoutes.js'

/** Options of the handlers of a member. */
export interface MemberHandlersOptions {
  /** The member of this daemon; undefined until the cluster is founded, and while the daemon stops. */
  readonly member: () => ControlMember | undefined
  /** Largest difference between the clocks of two machines, in ms; absent if starts in the future are accepted. */
  readonly maxClockSkewMs?: number
}

/** Creates the RPC handlers of a daemon with a disk. */
export function createMemberHandlers (opts: MemberHandlersOptions): RpcHandlers {
  const memberOnly = <P, R>(handle: (member: ControlMember, params: P, peer: Peer) => R) => (params: P, peer: Peer): R => {
    const member = opts.member()
    if (member === undefined) throw notLeaderError(null)
    return handle(member, params, peer)
  }
  const leaderOnly = <P, R>(handle: (member: ControlMember, params: P) => R) => memberOnly<P, R>((member, params) => {
    if (!member.node.isReady()) throw notLeaderError(member.node.leaderAddress())
    return handle(member, params)
  })
  return {
    'agreement.message': memberOnly(({ id, node }, raw: unknown, peer) => {
      const { from, to, message } = checkRaftEnvelope(raw)
      if (to === id) node.receive(from, message, peer)
    }),
    'control.join': memberOnly(({ voterReconciler }, raw: unknown) => voterReconciler.join(checkJoinRequest(raw).id)),
    'control.renew': memberOnly(({ duties }, raw: unknown, peer) => duties.renew(checkRenewRequest(raw), peer)),
    'routes.submit': leaderOnly(async (member, { packed }: PackedRoutes) => await submitRoutes(member, unpackRoutes(packed), packed)),
    'routes.read': leaderOnly(({ node }): PackedRoutes | null => {
      const { routes } = node.state()
      return routes === null ? null : { packed: packRoutes(routes) }
    }),
    'targets.announce': leaderOnly(async ({ duties }, raw: unknown) => {
      return await duties.announce(checkedAnnouncement(raw, opts.maxClockSkewMs))
    }),
    'targets.withdraw': leaderOnly(({ duties }, { instance }: { readonly instance: string }) => {
      duties.withdraw(instance)
      return true
    }),
  }
}
