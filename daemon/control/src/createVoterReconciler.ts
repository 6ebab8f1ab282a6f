import { type Address } from '@briarpick/types'
import { granterMs } from '@briarpick/clock'
import { type NodeId, type VoterSet } from '@briarpick/consensus-agreement'
import { type Service } from '@briarpick/kernel'
import { createLogger } from '@briarpick/logs'
import { createRpcClients } from '@briarpick/rpc'
import { type ControlNode } from './createControlNode.js'
import { nextVoters, type NodeObservation } from './nextVoters.js'

/** Options of a voter reconciler. */
export interface VoterReconcilerOptions {
  readonly node: ControlNode
  /** Number of voters that the cluster should have. */
  readonly desiredVoters: number
  /** Returns the control nodes to which join requests are sent. */
  readonly contacts: () => readonly Address[]
}

/**
 * Grows and repairs the voter set without an operator: nodes that are not voters send join requests, and the leader changes
 * the set.
 */
export interface VoterReconciler extends Service {
  /** Handles the join request of a node. */
  join: (id: NodeId) => void
}

const CHECK_INTERVAL_MS = 200
const JOIN_TIMEOUT_MS = 500
/** Time for which a join request stays valid, in ms, so that an identity that no longer exists is not admitted later. */
const JOIN_REQUEST_TTL_MS = 1000
/** Time without a known leader after which a voter sends join requests, in ms, in case it was replaced in the meantime. */
const LEADERLESS_REJOIN_MS = 2000
const log = createLogger('control:voters')

/** Starts the voter reconciler. */
export function createVoterReconciler (opts: VoterReconcilerOptions): VoterReconciler {
  const { node } = opts
  const clients = createRpcClients()
  const joinRequestedAt = new Map<NodeId, number>()
  let leaderKnownAt = granterMs()
  const timer = setInterval(check, CHECK_INTERVAL_MS)

  function check (): void {
    const { id, role, voters, leader } = node.status()
    const now = granterMs()
    if (role === 'leader' || leader !== null || !node.isStorageWritable()) leaderKnownAt = now
    if (!node.isStorageWritable()) return
    if (node.isReady()) reconcileVoters(voters, now)
    else if (!voters.voters.includes(id) && !(voters.learners.includes(id) && leader !== null)) requestToJoin(id)
    else if (now - leaderKnownAt > LEADERLESS_REJOIN_MS) requestToJoin(id)
  }

  function requestToJoin (id: NodeId): void {
    for (const address of opts.contacts()) {
      clients.get(address).request('control.join', { id }, { timeoutMs: JOIN_TIMEOUT_MS })
        .catch((err) => log('joinRequestFailed', { contact: address.host, reason: String(err) }))
    }
  }

  function reconcileVoters (current: VoterSet, now: number): void {
    if (!node.mayChangeVoters()) return
    const { lastIndex, match, id } = node.status()
    const ids = new Set([...current.voters, ...current.learners, ...joinRequestedAt.keys()])
    const observations = new Map<NodeId, NodeObservation>()
    for (const other of ids) {
      observations.set(other, {
        silentMs: other === id ? 0 : node.silentMs(other),
        lagEntries: other === id ? 0 : lastIndex - (match[other] ?? 0),
        hasRequestedJoin: now - (joinRequestedAt.get(other) ?? -Infinity) < JOIN_REQUEST_TTL_MS,
      })
    }
    const next = nextVoters(current, observations, { desiredVoters: opts.desiredVoters, self: id })
    if (next === undefined) return
    log('voterChangeProposed', { voters: next.voters.join(), learners: next.learners.join(), before: current.voters.join() })
    node.proposeVoters({ kind: 'voters', set: next })
  }

  return {
    join (id) {
      const now = granterMs()
      for (const [other, at] of joinRequestedAt) if (now - at > JOIN_REQUEST_TTL_MS) joinRequestedAt.delete(other)
      joinRequestedAt.set(id, now)
    },
    async close () {
      clearInterval(timer)
      clients.close()
    },
  }
}
