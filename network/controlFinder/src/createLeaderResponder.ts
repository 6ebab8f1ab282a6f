import { type Address, isSameAddress } from '@briarpick/types'
import { type LeaderRequest, type LeaderResponse } from './findLeader.js'

/** Options of a leader responder. */
export interface LeaderResponderOptions {
  /** Address of this node. */
  readonly self: Address
  /** Returns the response of this node at the time of the call; polled while requests are pending. */
  readonly current: () => LeaderResponse
}

/** Responds to leader requests by long polling. */
export interface LeaderResponder {
  /** Resolves at once if a usable leader is known, otherwise when one is known or the request's wait time ends. */
  readonly respond: (req: LeaderRequest) => Promise<LeaderResponse>
}

/** Interval at which pending requests are checked, in ms; one timer serves all of them. */
const POLL_INTERVAL_MS = 10
/** Upper bound on the wait time of a request, in ms. */
const MAX_WAIT_MS = 1000

interface PendingRequest {
  readonly req: LeaderRequest
  readonly deadline: number
  readonly resolve: (response: LeaderResponse) => void
}

/**
 * True if a response names a leader that the caller can try. A leader that the caller just failed to reach counts only if it
 * names itself, since other nodes may still be following it.
 */
export function namesUsableLeader ({ leader }: LeaderResponse, node: Address, failed: Address | undefined): boolean {
  return leader !== null && (!isSameAddress(leader, failed) || isSameAddress(node, failed))
}

/** Creates the leader responder of one node. */
export function createLeaderResponder ({ self, current }: LeaderResponderOptions): LeaderResponder {
  let pendingRequests: readonly PendingRequest[] = []
  let timer: NodeJS.Timeout | undefined

  function resolvePending (): void {
    const now = performance.now()
    const response = current()
    const isDone = ({ req, deadline }: PendingRequest) => now >= deadline || namesUsableLeader(response, self, req.failed)
    const completed = pendingRequests.filter(isDone)
    pendingRequests = pendingRequests.filter((request) => !isDone(request))
    for (const { resolve } of completed) resolve(response)
    if (pendingRequests.length > 0) return
    clearInterval(timer)
    timer = undefined
  }

  return {
    async respond (req) {
      const response = current()
      const waitMs = Math.min(req.waitMs ?? 0, MAX_WAIT_MS)
      if (waitMs <= 0 || namesUsableLeader(response, self, req.failed)) return response
      return await new Promise((resolve) => {
        pendingRequests = [...pendingRequests, { req, deadline: performance.now() + waitMs, resolve }]
        timer ??= setInterval(resolvePending, POLL_INTERVAL_MS).unref()
      })
    },
  }
}
