import { type NodeId, type RestartReply, type RestartRequest } from './raftTypes.js'

/**
 * Tracks whether the processes of all voters are fresh: none has led or followed a leader since it started. If so, no leader
 * is confirmed, and votes need not wait for the minimum election timeout, which otherwise protects a leader that voters
 * confirmed before they restarted. A reply covers only the time since its process started, so all processes must have been
 * running when the earliest request with a reply was sent.
 */
export interface RestartTracker {
  /** Returns a request sent at `now`, in ms on this node's clock. */
  createRequest: (now: number) => RestartRequest
  /** Records the reply of a fresh process; ignores a reply to an earlier process of this node. */
  recordReply: (from: NodeId, reply: RestartReply, now: number) => void
  /** True if all of the nodes replied from fresh processes that were running at the same time. */
  areAllFresh: (nodes: readonly NodeId[]) => boolean
  /** True for the first request of each process that asks; further ones are repetitions. */
  isFirstRequest: (request: RestartRequest) => boolean
  /** Identifier of the process that replied; only that process may grant a vote before the minimum election timeout. */
  processIdOf: (node: NodeId) => number | undefined
}

interface FreshProcess {
  readonly processId: number
  readonly sentAt: number
  /** Latest time at which the process can have started, in ms on this node's clock. */
  readonly latestStartAt: number
}

/** Creates a tracker without replies; `asker` is the identifier of this process. */
export function createRestartTracker (asker: number): RestartTracker {
  const byNode = new Map<NodeId, FreshProcess>()
  /** Processes that have asked this one. */
  const askers = new Set<number>()
  return {
    createRequest: (now) => ({ asker, sentAt: now }),
    recordReply (from, reply, now) {
      if (reply.asker !== asker) return
      byNode.set(from, { processId: reply.process, sentAt: reply.sentAt, latestStartAt: now - reply.upMs })
    },
    areAllFresh (nodes) {
      const all = nodes.map((node) => byNode.get(node)).filter((known) => known !== undefined)
      const earliestSentAt = Math.min(...all.map(({ sentAt }) => sentAt))
      return all.length === nodes.length && all.every(({ latestStartAt }) => latestStartAt <= earliestSentAt)
    },
    isFirstRequest ({ asker: process }) {
      if (askers.has(process)) return false
      askers.add(process)
      return true
    },
    processIdOf: (node) => byNode.get(node)?.processId,
  }
}
