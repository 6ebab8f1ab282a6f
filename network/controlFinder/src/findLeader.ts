import { setTimeout as sleep } from 'node:timers/promises'
import { type Address, formatAddress } from '@briarpick/types'
import { createRpcClient, type RpcClient } from '@briarpick/rpc'

/** A control node's answer about who leads. */
export interface LeaderAnswer {
  readonly leader: Address | null
  readonly controls: readonly Address[]
}

/** An answer that names a leader. */
export interface FoundLeader extends LeaderAnswer {
  readonly leader: Address
}

/** Options of a search. */
export interface FindLeaderOptions {
  readonly nodes: readonly Address[]
  /** A leader that failed just now: nodes that still follow it are asked again, and only itself may say that it leads. */
  readonly failed?: Address
  /** Longest time of the search, in ms. */
  readonly timeoutMs: number
}

/** Longest time for one node's answer, in ms: regions apart, and a process that has just started. */
const ANSWER_TIMEOUT_MS = 200
/** Pause before a node that knows no leader is asked again, in ms: an election takes several of them. */
const ASK_AGAIN_MS = 30

/**
 * Asks all nodes at once, each again until one names a leader. A node that does not answer holds none of the others up.
 * Resolves with undefined if none named one in time.
 */
export async function findLeader ({ nodes, failed, timeoutMs }: FindLeaderOptions): Promise<FoundLeader | undefined> {
  const until = performance.now() + timeoutMs
  const clients: RpcClient[] = []
  let ended = false

  async function askUntilKnown (address: Address): Promise<FoundLeader> {
    const client = createRpcClient({ address, connectTimeoutMs: ANSWER_TIMEOUT_MS })
    clients.push(client)
    for (;;) {
      const answer = await client.request<LeaderAnswer>('control.leader', {}, { timeoutMs: ANSWER_TIMEOUT_MS })
        // A node that cannot be reached knows no leader; the search as a whole says whether any did.
        .catch((): LeaderAnswer => ({ leader: null, controls: [] }))
      const { leader } = answer
      if (leader !== null && (!isSame(leader, failed) || isSame(address, failed))) return { ...answer, leader }
      if (ended || performance.now() + ASK_AGAIN_MS > until) throw new Error('no leader named in time')
      await sleep(ASK_AGAIN_MS)
    }
  }

  const found = await Promise.any(nodes.map(askUntilKnown)).catch(() => undefined)
  ended = true
  for (const client of clients) client.close()
  return found
}

function isSame (a: Address, b: Address | undefined): boolean {
  return b !== undefined && formatAddress(a) === formatAddress(b)
}
