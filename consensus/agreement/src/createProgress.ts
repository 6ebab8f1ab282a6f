import { type NodeId } from './raftTypes.js'

/** What a leader knows of each follower's log and of its own standing. */
export interface Progress {
  /** Index of the next entry to send. */
  readonly next: (peer: NodeId) => number
  readonly matched: (peer: NodeId, index: number) => void
  readonly rejected: (peer: NodeId, hint: number) => void
  /** Notes that entries were sent; true until the follower answers. */
  readonly await: (peer: NodeId) => void
  readonly isAwaited: (peer: NodeId) => boolean
  /** Notes that a follower answered a message sent at that time. */
  readonly confirm: (peer: NodeId, sentAt: number) => void
  /** Highest index that a quorum stores. */
  readonly quorumMatch: (voters: readonly NodeId[], self: NodeId, lastIndex: number) => number
  /** Latest time at which a quorum still followed this leader. */
  readonly quorumConfirmed: (voters: readonly NodeId[], self: NodeId, now: number) => number
  /** Forgets peers that left and starts with those that came. */
  readonly keepOnly: (peers: readonly NodeId[], lastIndex: number) => void
  readonly matches: () => Readonly<Record<NodeId, number>>
}

interface PeerProgress {
  next: number
  match: number
  confirmedAt: number
  awaited: boolean
}

/** Starts with nothing known of the peers' logs. */
export function createProgress (peers: readonly NodeId[], next: number): Progress {
  const byPeer = new Map<NodeId, PeerProgress>(peers.map((peer) => [peer, { next, match: 0, confirmedAt: -Infinity, awaited: false }]))

  function quorumValue (voters: readonly NodeId[], valueOf: (voter: NodeId) => number): number {
    const values = voters.map(valueOf).sort((a, b) => b - a)
    return values[Math.floor(voters.length / 2)] ?? 0
  }

  return {
    next: (peer) => byPeer.get(peer)?.next ?? 1,
    matched (peer, index) {
      const entry = byPeer.get(peer)
      if (entry === undefined) return
      entry.match = Math.max(entry.match, index)
      entry.next = Math.max(entry.next, entry.match + 1)
    },
    rejected (peer, hint) {
      const entry = byPeer.get(peer)
      if (entry !== undefined) entry.next = Math.max(entry.match + 1, Math.min(entry.next - 1, hint + 1), 1)
    },
    confirm (peer, sentAt) {
      const entry = byPeer.get(peer)
      if (entry === undefined) return
      entry.awaited = false
      entry.confirmedAt = Math.max(entry.confirmedAt, sentAt)
    },
    await (peer) {
      const entry = byPeer.get(peer)
      if (entry !== undefined) entry.awaited = true
    },
    isAwaited: (peer) => byPeer.get(peer)?.awaited === true,
    quorumMatch: (voters, self, lastIndex) =>
      quorumValue(voters, (voter) => voter === self ? lastIndex : byPeer.get(voter)?.match ?? 0),
    quorumConfirmed: (voters, self, now) =>
      quorumValue(voters, (voter) => voter === self ? now : byPeer.get(voter)?.confirmedAt ?? -Infinity),
    keepOnly (kept, lastIndex) {
      for (const peer of byPeer.keys()) {
        if (!kept.includes(peer)) byPeer.delete(peer)
      }
      for (const peer of kept) {
        if (!byPeer.has(peer)) byPeer.set(peer, { next: lastIndex, match: 0, confirmedAt: -Infinity, awaited: false })
      }
    },
    matches: () => Object.fromEntries([...byPeer].map(([peer, entry]) => [peer, entry.match])),
  }
}
