import { setTimeout as sleep } from 'node:timers/promises'
import { type Address } from '@briarpick/types'
import { createRpcClient, type RpcClient } from '@briarpick/rpc'
import { namesUsableLeader } from './createLeaderResponder.js'

/** Request to a control node for the current leader. */
export interface LeaderRequest {
  /** Leader that the caller just failed to reach; a node that still follows it treats the leader as unknown. */
  readonly failed?: Address
  /** Time for which a node that knows no usable leader holds the request, in ms; 0 if absent. */
  readonly waitMs?: number
}

/** A control node's response to a leader request. */
export interface LeaderResponse {
  /** Null if the node knows no leader. */
  readonly leader: Address | null
  /** Addresses of all control nodes that the node knows. */
  readonly controls: readonly Address[]
  /** Term of the leader; absent if none is known or the node runs an earlier version. */
  readonly term?: number
  /** Time since a member of the cluster has said this, in ms; absent if the node is one and says it now. */
  readonly ageMs?: number
}

/** A response that names a leader. */
export interface FoundLeader extends LeaderResponse {
  readonly leader: Address
}

/** Options of a leader search. */
export interface FindLeaderOptions {
  readonly nodes: readonly Address[]
  /** Leader that the caller just failed to reach; it is accepted as a result only if it names itself. */
  readonly failed?: Address
  /** Timeout of the whole search, in ms. */
  readonly timeoutMs: number
  /** Aborted when the result is of no more use; the search then resolves with undefined. */
  readonly signal?: AbortSignal
}

/** Time allowed for a node's response beyond the wait time, in ms; covers another region and a process that is still starting. */
const RESPONSE_TIMEOUT_MS = 200
/**
 * Timeout of the first attempt to connect to a node, in ms; covers the round trip to another region. An attempt that began before a
 * VM is up is lost, so that a short one finds the node sooner after a power failure.
 */
const FIRST_CONNECT_TIMEOUT_MS = 60
/** Factor by which the timeout of each further attempt grows, for links on which connecting takes longer. */
const CONNECT_TIMEOUT_GROWTH = 1.5
/** Delay before the next request to a node that was unreachable or responded without a usable leader, in ms. */
const RETRY_DELAY_MS = 30
/** Wait time sent with each request, in ms; covers most elections, so that a node gets few requests during one. */
const LONG_POLL_MS = 300

/**
 * Finds the leader by long polling all nodes in parallel until one names a usable leader. An unresponsive node doesn't delay the
 * others. Resolves with undefined if no leader was found before the timeout.
 */
export async function findLeader ({ nodes, failed, timeoutMs, signal }: FindLeaderOptions): Promise<FoundLeader | undefined> {
  const deadline = performance.now() + timeoutMs
  const clients: RpcClient[] = []
  let searchEnded = false

  async function pollNode (address: Address): Promise<FoundLeader> {
    const client = createRpcClient({ address, connectTimeoutMs: createConnectTimeouts() })
    clients.push(client)
    for (;;) {
      const waitMs = Math.max(0, Math.min(LONG_POLL_MS, deadline - performance.now()))
      const req: LeaderRequest = { failed, waitMs }
      const response = await client.request<LeaderResponse>('control.leader', req, { timeoutMs: waitMs + RESPONSE_TIMEOUT_MS })
        // Counts an unreachable node as one that knows no leader; the search fails only if no node names one.
        .catch((): LeaderResponse => ({ leader: null, controls: [] }))
      const { leader } = response
      if (leader !== null && namesUsableLeader(response, address, failed)) return { ...response, leader }
      if (searchEnded || performance.now() + RETRY_DELAY_MS > deadline) throw new Error('no usable leader before the deadline')
      await sleep(RETRY_DELAY_MS)
    }
  }

  function end (): void {
    searchEnded = true
    for (const client of clients) client.close()
  }

  signal?.addEventListener('abort', end, { once: true })
  const found = await Promise.any(nodes.map(pollNode)).catch(() => undefined)
  signal?.removeEventListener('abort', end)
  end()
  return found
}

/** Returns the timeout of each attempt to connect to a node, in ms. */
function createConnectTimeouts (): () => number {
  let attempts = 0
  return () => FIRST_CONNECT_TIMEOUT_MS * CONNECT_TIMEOUT_GROWTH ** attempts++
}
