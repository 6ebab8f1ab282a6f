import { type Address } from '@briarpick/types'
import { type NodeId } from '@briarpick/consensus-agreement'
import { type Service } from '@briarpick/kernel'
import { createLogger } from '@briarpick/logs'
import { createRpcClient } from '@briarpick/rpc'
import { type ControlNode } from './createControlNode.js'

/** Options of voter admission. */
export interface VoterAdmissionOptions {
  readonly node: ControlNode
  readonly nodes: Readonly<Record<string, Address>>
}

/** Gives a node that lost its data folder its vote back, once it has caught up. */
export interface VoterAdmission extends Service {
  /** Takes the request of a node without a vote. */
  join: (id: NodeId) => void
}

const CHECK_MS = 200
const JOIN_TIMEOUT_MS = 500
/** Entries that a learner may lack when it gets its vote. */
const CAUGHT_UP_ENTRIES = 2
const log = createLogger('control:voters')

/** Starts admission; a leader admits, a node without a vote asks. */
export function createVoterAdmission (opts: VoterAdmissionOptions): VoterAdmission {
  const { node } = opts
  const clients = Object.values(opts.nodes).map((address) => createRpcClient({ address }))
  const asking = new Set<NodeId>()
  const timer = setInterval(check, CHECK_MS)

  function check (): void {
    const { id, voters, leader } = node.status()
    if (node.isReady()) admitNext()
    else if (!voters.voters.includes(id) && (leader === null || !voters.learners.includes(id))) ask(id)
  }

  function ask (id: NodeId): void {
    for (const client of clients) client.request('control.join', { id }, { timeoutMs: JOIN_TIMEOUT_MS }).catch(() => {})
  }

  /** One change of voters at a time: drop the lost identity and add the learner, then give the learner its vote. */
  function admitNext (): void {
    if (!node.mayChangeVoters()) return
    const { voters, learners } = node.status().voters
    const newcomer = [...asking].find((id) => !voters.includes(id) && !learners.includes(id))
    const ready = learners.find((id) => (node.status().match[id] ?? 0) >= node.status().lastIndex - CAUGHT_UP_ENTRIES)
    if (newcomer !== undefined) {
      const keep = (id: NodeId) => nameOf(id) !== nameOf(newcomer)
      propose(voters.filter(keep), [...learners.filter(keep), newcomer])
    } else if (ready !== undefined) {
      propose([...voters, ready], learners.filter((id) => id !== ready))
      asking.delete(ready)
    }
  }

  function propose (voters: readonly NodeId[], learners: readonly NodeId[]): void {
    log('changeVoters', { voters: voters.join(), learners: learners.join() })
    node.proposeVoters({ kind: 'voters', set: { voters, learners } })
  }

  return {
    join (id) {
      const { voters } = node.status().voters
      if (nameOf(id) in opts.nodes && !voters.includes(id)) asking.add(id)
    },
    async close () {
      clearInterval(timer)
      for (const client of clients) client.close()
    },
  }
}

function nameOf (id: NodeId): string {
  return id.split(':')[0]
}
