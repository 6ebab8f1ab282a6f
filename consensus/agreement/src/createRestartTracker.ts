import { type NodeId, type RestartReply, type RestartRequest } from './raftTypes.js'

/**
 * Collects whether the processes of all voters are new. If they are, none of them leads, no leader is confirmed, and votes need
 * not wait until a leader that was forgotten may be replaced. An answer counts for what its process did from its start on, so
 * all of them must have run when the first question that still counts was asked.
 */
export interface RestartTracker {
  ask: (now: number) => RestartRequest
  note: (from: NodeId, answer: RestartReply, now: number) => void
  /** True if every one of the nodes answered from a new process. */
  isComplete: (nodes: readonly NodeId[]) => boolean
  /** Mark of the process that answered; a vote is asked of no other. */
  processOf: (node: NodeId) => number | undefined
}

interface Evidence {
  readonly process: number
  readonly sentAt: number
  /** Latest time at which the process can have started, on this node's clock. */
  readonly startedBy: number
}

/** Creates evidence that is empty; `asker` is the mark of this process. */
export function createRestartTracker (asker: number): RestartTracker {
  const byNode = new Map<NodeId, Evidence>()
  return {
    ask: (now) => ({ asker, sentAt: now }),
    note (from, answer, now) {
      if (answer.asker !== asker) return
      byNode.set(from, { process: answer.process, sentAt: answer.sentAt, startedBy: now - answer.upMs })
    },
    isComplete (nodes) {
      const all = nodes.map((node) => byNode.get(node)).filter((evidence) => evidence !== undefined)
      const firstAskedAt = Math.min(...all.map(({ sentAt }) => sentAt))
      return all.length === nodes.length && all.every(({ startedBy }) => startedBy <= firstAskedAt)
    },
    processOf: (node) => byNode.get(node)?.process,
  }
}
