import { type Address } from '@briarpick/types'
import { elapsedMs } from '@briarpick/clock'
import { type NodeId, type VoterSet } from '@briarpick/consensus-agreement'
import { type Service } from '@briarpick/kernel'
import { createLogger } from '@briarpick/logs'
import { createRpcClients } from '@briarpick/rpc'
import { type ControlNode } from './createControlNode.js'
import { nextVoters, type VoterFinding } from './nextVoters.js'

/** Options of a voter keeper. */
export interface VoterKeeperOptions {
  readonly node: ControlNode
  /** Voters that the cluster should have. */
  readonly wanted: number
  /** Nodes that may know the leader, newest knowledge first. */
  readonly contacts: () => readonly Address[]
}

/** Grows and repairs the set of voters without an operator: a leader changes it, a node without a vote asks. */
export interface VoterKeeper extends Service {
  /** Takes the request of a node without a vote. */
  join: (id: NodeId) => void
}

const CHECK_MS = 200
const JOIN_TIMEOUT_MS = 500
/** A request to join counts for this long, so that an identity that is gone is not admitted later, in ms. */
const REQUEST_LIFETIME_MS = 1000
/** A voter that follows no leader for this long asks to join, in case it was replaced meanwhile, in ms. */
const LONELY_MS = 2000
const log = createLogger('control:voters')

/** Starts keeping. */
export function createVoterKeeper (opts: VoterKeeperOptions): VoterKeeper {
  const { node } = opts
  const clients = createRpcClients()
  const askedAt = new Map<NodeId, number>()
  let followedAt = elapsedMs()
  const timer = setInterval(check, CHECK_MS)

  function check (): void {
    const { id, role, voters, leader } = node.status()
    const now = elapsedMs()
    if (role === 'leader' || leader !== null) followedAt = now
    if (node.isReady()) admit(voters, now)
    else if (!voters.voters.includes(id) && !(voters.learners.includes(id) && leader !== null)) ask(id)
    else if (now - followedAt > LONELY_MS) ask(id)
  }

  function ask (id: NodeId): void {
    for (const address of opts.contacts()) {
      clients.of(address).request('control.join', { id }, { timeoutMs: JOIN_TIMEOUT_MS })
        .catch((err) => log('joinFailed', { contact: address.host, reason: String(err) }))
    }
  }

  function admit (current: VoterSet, now: number): void {
    if (!node.mayChangeVoters()) return
    const { lastIndex, match, id } = node.status()
    const ids = new Set([...current.voters, ...current.learners, ...askedAt.keys()])
    const findings = new Map<NodeId, VoterFinding>()
    for (const other of ids) {
      findings.set(other, {
        silentMs: other === id ? 0 : node.silentMs(other),
        behind: other === id ? 0 : lastIndex - (match[other] ?? 0),
        isAsking: now - (askedAt.get(other) ?? -Infinity) < REQUEST_LIFETIME_MS,
      })
    }
    const next = nextVoters(current, findings, { wanted: opts.wanted, self: id })
    if (next === undefined) return
    log('changeVoters', { voters: next.voters.join(), learners: next.learners.join(), before: current.voters.join() })
    node.proposeVoters({ kind: 'voters', set: next })
  }

  return {
    join (id) {
      const now = elapsedMs()
      for (const [other, at] of askedAt) if (now - at > REQUEST_LIFETIME_MS) askedAt.delete(other)
      askedAt.set(id, now)
    },
    async close () {
      clearInterval(timer)
      clients.close()
    },
  }
}
