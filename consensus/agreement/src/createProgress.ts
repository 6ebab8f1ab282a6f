import { type NodeId } from './raftTypes.js'

/** Replication progress of each peer, kept by the leader, and the latest contact that confirms its leadership. */
export interface Progress {
  /** Index of the next entry to send to a peer. */
  readonly nextIndex: (peer: NodeId) => number
  /** Records that a peer's log matches the leader's up to an index. */
  readonly recordMatch: (peer: NodeId, index: number) => void
  /** Records a failed consistency check; `hint` is the highest index at which the logs may still match. */
  readonly recordRejection: (peer: NodeId, hint: number) => void
  /** Records that entries were sent to a peer. */
  readonly markInFlight: (peer: NodeId) => void
  /** True until the peer answers after entries were sent. */
  readonly isInFlight: (peer: NodeId) => boolean
  /** Records the answer of a peer to a message that the leader sent at `sentAt`, on the leader's clock in ms. */
  readonly recordContact: (peer: NodeId, sentAt: number) => void
  /** Returns the highest index that a quorum of the voters stores. */
  readonly quorumMatchIndex: (voters: readonly NodeId[], self: NodeId, lastIndex: number) => number
  /** Returns the latest time in ms at which a quorum of the voters still followed this leader. */
  readonly quorumContactAt: (voters: readonly NodeId[], self: NodeId, now: number) => number
  /** Removes peers that are no longer members and adds new ones. */
  readonly setPeers: (peers: readonly NodeId[], lastIndex: number) => void
  /** Returns the index up to which each peer's log is known to match. */
  readonly matchIndexes: () => Readonly<Record<NodeId, number>>
}

interface PeerProgress {
  next: number
  match: number
  contactAt: number
  inFlight: boolean
}

/** Creates the progress of a new leader: no peer's log is known to match, and `next` is the next index for all of them. */
export function createProgress (peers: readonly NodeId[], next: number): Progress {
  const byPeer = new Map<NodeId, PeerProgress>(peers.map((peer) => [peer, { next, match: 0, contactAt: -Infinity, inFlight: false }]))

  function quorumValue (voters: readonly NodeId[], valueOf: (voter: NodeId) => number): number {
    const values = voters.map(valueOf).sort((a, b) => b - a)
    return values[Math.floor(voters.length / 2)] ?? 0
  }

  return {
    nextIndex: (peer) => byPeer.get(peer)?.next ?? 1,
    recordMatch (peer, index) {
      const entry = byPeer.get(peer)
      if (entry === undefined) return
      entry.match = Math.max(entry.match, index)
      entry.next = Math.max(entry.next, entry.match + 1)
    },
    recordRejection (peer, hint) {
      const entry = byPeer.get(peer)
      if (entry !== undefined) entry.next = Math.max(entry.match + 1, Math.min(entry.next - 1, hint + 1), 1)
    },
    recordContact (peer, sentAt) {
      const entry = byPeer.get(peer)
      if (entry === undefined) return
      entry.inFlight = false
      entry.contactAt = Math.max(entry.contactAt, sentAt)
    },
    markInFlight (peer) {
      const entry = byPeer.get(peer)
      if (entry !== undefined) entry.inFlight = true
    },
    isInFlight: (peer) => byPeer.get(peer)?.inFlight === true,
    quorumMatchIndex: (voters, self, lastIndex) =>
      quorumValue(voters, (voter) => voter === self ? lastIndex : byPeer.get(voter)?.match ?? 0),
    quorumContactAt: (voters, self, now) =>
      quorumValue(voters, (voter) => voter === self ? now : byPeer.get(voter)?.contactAt ?? -Infinity),
    setPeers (kept, lastIndex) {
      for (const peer of byPeer.keys()) {
        if (!kept.includes(peer)) byPeer.delete(peer)
      }
      for (const peer of kept) {
        if (!byPeer.has(peer)) byPeer.set(peer, { next: lastIndex, match: 0, contactAt: -Infinity, inFlight: false })
      }
    },
    matchIndexes: () => Object.fromEntries([...byPeer].map(([peer, entry]) => [peer, entry.match])),
  }
}
