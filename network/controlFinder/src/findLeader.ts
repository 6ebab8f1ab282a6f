import { setTimeout as sleep } from 'node:timers/promises'
import { type Address } from '@briarpick/types'
import { createRpcClient, type RpcClient } from '@briarpick/rpc'
import { namesLeader } from './createLeaderAnswers.js'

/** A question to a control node about who leads. */
export interface LeaderRequest {
  /** A leader that failed just now: a node that still follows it has no answer yet. */
  readonly failed?: Address
  /** Time for which the question waits at a node that has no answer yet, in ms; 0 if absent. */
  readonly waitMs?: number
}

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

/** Longest time for one node's connection or answer, in ms: regions apart, and a process that has just started. */
const ANSWER_TIMEOUT_MS = 200
/** Pause before a node that could not be reached, or did not wait, is asked again, in ms. */
const ASK_AGAIN_MS = 30
/** Time for which a question waits at a node, in ms: most elections; few questions at a time meet a node then. */
const WAIT_MS = 300

/**
 * Asks all nodes at once, each again until one names a leader; the question waits at nodes that know none.
 * A node that does not answer holds none of the others up.
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
      const waitMs = Math.max(0, Math.min(WAIT_MS, until - performance.now()))
      const req: LeaderRequest = { failed, waitMs }
      const answer = await client.request<LeaderAnswer>('control.leader', req, { timeoutMs: waitMs + ANSWER_TIMEOUT_MS })
        // A node that cannot be reached knows no leader; the search as a whole says whether any did.
        .catch((): LeaderAnswer => ({ leader: null, controls: [] }))
      const { leader } = answer
      if (leader !== null && namesLeader(answer, address, failed)) return { ...answer, leader }
      if (ended || performance.now() + ASK_AGAIN_MS > until) throw new Error('no leader named in time')
      await sleep(ASK_AGAIN_MS)
    }
  }

  const found = await Promise.any(nodes.map(askUntilKnown)).catch(() => undefined)
  ended = true
  for (const client of clients) client.close()
  return found
}
