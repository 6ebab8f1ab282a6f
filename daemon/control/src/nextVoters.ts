import { type NodeId, type VoterSet } from '@briarpick/consensus-agreement'

/** What a leader knows of a node. */
export interface VoterFinding {
  /** Time since a message of the node, in ms. */
  readonly silentMs: number
  /** Entries that the node lacks. */
  readonly behind: number
  /** True if the node asked to join just now. */
  readonly isAsking: boolean
}

/** Options of a change of voters. */
export interface NextVotersOptions {
  /** Voters that the cluster should have. */
  readonly wanted: number
  readonly self: NodeId
}

/** A voter silent for this long gives way to a learner that has caught up, in ms; under the time that a successor gets to settle in. */
export const GONE_MS = 3000
/** A learner that is silent for this long is dropped, in ms. */
export const FORGET_LEARNER_MS = 30_000
/** Entries that a learner may lack when it gets its vote. */
const CAUGHT_UP_ENTRIES = 2

/** The name in a node's identity. */
export function nameOf (id: NodeId): string {
  return id.split(':')[0]
}

/** The next set of voters, one change from the present one; undefined if it stays. */
export function nextVoters (
  current: VoterSet,
  findings: ReadonlyMap<NodeId, VoterFinding>,
  opts: NextVotersOptions
): VoterSet | undefined {
  return admitNewcomer(current, findings) ??
    giveVote(current, findings, opts) ??
    takeVote(current, findings, opts) ??
    dropLearner(current, findings)
}

/** A node that asks becomes a learner; an earlier identity of the same name is gone for good and loses its vote. */
function admitNewcomer ({ voters, learners }: VoterSet, findings: ReadonlyMap<NodeId, VoterFinding>): VoterSet | undefined {
  const newcomer = [...findings].find(([id, { isAsking }]) => isAsking && !voters.includes(id) && !learners.includes(id))
  if (newcomer === undefined) return undefined
  const [id] = newcomer
  const keep = (other: NodeId) => nameOf(other) !== nameOf(id)
  return { voters: voters.filter(keep), learners: [...learners.filter(keep), id] }
}

function readyLearner ({ learners }: VoterSet, findings: ReadonlyMap<NodeId, VoterFinding>): NodeId | undefined {
  return learners.find((id) => {
    const finding = findings.get(id)
    return finding !== undefined && finding.behind <= CAUGHT_UP_ENTRIES && finding.silentMs < GONE_MS
  })
}

function giveVote (current: VoterSet, findings: ReadonlyMap<NodeId, VoterFinding>, opts: NextVotersOptions): VoterSet | undefined {
  const ready = readyLearner(current, findings)
  if (ready === undefined || current.voters.length >= opts.wanted) return undefined
  return { voters: [...current.voters, ready], learners: current.learners.filter((id) => id !== ready) }
}

/** A vote is only taken while a successor stands ready, so that the cluster is never left smaller than it has to be. */
function takeVote (current: VoterSet, findings: ReadonlyMap<NodeId, VoterFinding>, opts: NextVotersOptions): VoterSet | undefined {
  if (readyLearner(current, findings) === undefined) return undefined
  const gone = current.voters.find((id) => id !== opts.self && (findings.get(id)?.silentMs ?? Infinity) > GONE_MS)
  return gone === undefined ? undefined : { voters: current.voters.filter((id) => id !== gone), learners: current.learners }
}

function dropLearner ({ voters, learners }: VoterSet, findings: ReadonlyMap<NodeId, VoterFinding>): VoterSet | undefined {
  const gone = learners.find((id) => (findings.get(id)?.silentMs ?? Infinity) > FORGET_LEARNER_MS)
  return gone === undefined ? undefined : { voters, learners: learners.filter((id) => id !== gone) }
}
