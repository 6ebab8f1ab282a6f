import { type Address } from '@briarpick/types'
import { type NodeId } from '@briarpick/consensus-agreement'
import { type Service } from '@briarpick/kernel'
import { createLogger } from '@briarpick/logs'
import { createRpcClient } from '@briarpick/rpc'
import { type ControlNode } from './createControlNode.js'
import { nodeName } from './nextVoters.js'

/** Options of voter admission. */
export interface VoterAdmissionOptions {
  readonly node: ControlNode
  /** Addresses of the control nodes, by name. */
  readonly nodes: Readonly<Record<string, Address>>
}

/** Readmits a node that lost its data folder, as a learner first and as a voter once it has caught up. */
export interface VoterAdmission extends Service {
  /** Handles the join request of a node that is not a voter. */
  join: (id: NodeId) => void
}

const CHECK_INTERVAL_MS = 200
const JOIN_TIMEOUT_MS = 500
/** Maximum number of log entries that a learner may lag behind when it becomes a voter. */
const MAX_LAG_ENTRIES = 2
const log = createLogger('control:voters')

/** Starts voter admission: a node that is not a voter sends join requests, and the leader admits it. */
export function createVoterAdmission (opts: VoterAdmissionOptions): VoterAdmission {
  const { node } = opts
  const clients = Object.values(opts.nodes).map((address) => createRpcClient({ address }))
  const joinRequests = new Set<NodeId>()
  const timer = setInterval(check, CHECK_INTERVAL_MS)

  function check (): void {
    const { id, voters, leader } = node.status()
    if (node.isReady()) admitNext()
    else if (!voters.voters.includes(id) && (leader === null || !voters.learners.includes(id))) requestToJoin(id)
  }

  function requestToJoin (id: NodeId): void {
    for (const client of clients) client.request('control.join', { id }, { timeoutMs: JOIN_TIMEOUT_MS }).catch(() => {})
  }

  /** Makes one change at a time: replaces a lost identity by a learner, then promotes the learner to voter. */
  function admitNext (): void {
    if (!node.mayChangeVoters()) return
    const { voters, learners } = node.status().voters
    const joiningNode = [...joinRequests].find((id) => !voters.includes(id) && !learners.includes(id))
    const caughtUpLearner = learners.find((id) => (node.status().match[id] ?? 0) >= node.status().lastIndex - MAX_LAG_ENTRIES)
    if (joiningNode !== undefined) {
      const hasOtherName = (id: NodeId) => nodeName(id) !== nodeName(joiningNode)
      propose(voters.filter(hasOtherName), [...learners.filter(hasOtherName), joiningNode])
    } else if (caughtUpLearner !== undefined) {
      propose([...voters, caughtUpLearner], learners.filter((id) => id !== caughtUpLearner))
      joinRequests.delete(caughtUpLearner)
    }
  }

  function propose (voters: readonly NodeId[], learners: readonly NodeId[]): void {
    log('voterChangeProposed', { voters: voters.join(), learners: learners.join() })
    node.proposeVoters({ kind: 'voters', set: { voters, learners } })
  }

  return {
    join (id) {
      const { voters } = node.status().voters
      if (Object.hasOwn(opts.nodes, nodeName(id)) && !voters.includes(id)) joinRequests.add(id)
    },
    async close () {
      clearInterval(timer)
      for (const client of clients) client.close()
    },
  }
}
