import { type NodeId, type VoterSet } from '@briarpick/consensus-agreement'

/** The state of a node as observed by the leader. */
export interface NodeObservation {
  /** Time since the last message from the node, in ms. */
  readonly silentMs: number
  /** Number of log entries that the node lags behind. */
  readonly lagEntries: number
  /** True if the node has a valid join request. */
  readonly hasRequestedJoin: boolean
}

/** Options of a voter set change. */
export interface NextVotersOptions {
  /** Number of voters that the cluster should have. */
  readonly desiredVoters: number
  /** The leader itself, which never counts as silent. */
  readonly self: NodeId
}

/** Silence after which a voter is replaced by a caught-up learner, in ms; shorter than the time allowed for a replacement node to join. */
export const VOTER_REPLACEMENT_MS = 3000
/** Silence after which a learner is removed, in ms. */
export const LEARNER_REMOVAL_MS = 30_000
/** Maximum number of log entries that a learner may lag behind when it becomes a voter. */
const MAX_LAG_ENTRIES = 2

/** Returns the name part of a node ID. */
export function nodeName (id: NodeId): string {
  return id.split(':')[0]
}

/** Returns the next voter set, which is one change away from the current one; undefined if no change is needed. */
export function nextVoters (
  current: VoterSet,
  observations: ReadonlyMap<NodeId, NodeObservation>,
  opts: NextVotersOptions
): VoterSet | undefined {
  return addLearner(current, observations) ??
    promoteLearner(current, observations, opts) ??
    removeSilentVoter(current, observations, opts) ??
    removeSilentLearner(current, observations)
}

/** Adds a node that requested to join as a learner; an earlier identity of the same name no longer exists and is removed. */
function addLearner ({ voters, learners }: VoterSet, observations: ReadonlyMap<NodeId, NodeObservation>): VoterSet | undefined {
  const joiningNode = [...observations]
    .find(([id, { hasRequestedJoin }]) => hasRequestedJoin && !voters.includes(id) && !learners.includes(id))
  if (joiningNode === undefined) return undefined
  const [id] = joiningNode
  const hasOtherName = (other: NodeId) => nodeName(other) !== nodeName(id)
  return { voters: voters.filter(hasOtherName), learners: [...learners.filter(hasOtherName), id] }
}

/** Returns a learner that has caught up and is not silent; undefined if there is none. */
function caughtUpLearner ({ learners }: VoterSet, observations: ReadonlyMap<NodeId, NodeObservation>): NodeId | undefined {
  return learners.find((id) => {
    const observation = observations.get(id)
    return observation !== undefined && observation.lagEntries <= MAX_LAG_ENTRIES && observation.silentMs < VOTER_REPLACEMENT_MS
  })
}

function promoteLearner (
  current: VoterSet,
  observations: ReadonlyMap<NodeId, NodeObservation>,
  opts: NextVotersOptions
): VoterSet | undefined {
  const learner = caughtUpLearner(current, observations)
  if (learner === undefined || current.voters.length >= opts.desiredVoters) return undefined
  return { voters: [...current.voters, learner], learners: current.learners.filter((id) => id !== learner) }
}

/** Removes a silent voter, but only while a caught-up learner can replace it, so that the voter set doesn't shrink needlessly. */
function removeSilentVoter (
  current: VoterSet,
  observations: ReadonlyMap<NodeId, NodeObservation>,
  opts: NextVotersOptions
): VoterSet | undefined {
  if (caughtUpLearner(current, observations) === undefined) return undefined
  const silentVoter = current.voters.find((id) => id !== opts.self && (observations.get(id)?.silentMs ?? Infinity) > VOTER_REPLACEMENT_MS)
  return silentVoter === undefined ? undefined : { voters: current.voters.filter((id) => id !== silentVoter), learners: current.learners }
}

function removeSilentLearner ({ voters, learners }: VoterSet, observations: ReadonlyMap<NodeId, NodeObservation>): VoterSet | undefined {
  const silentLearner = learners.find((id) => (observations.get(id)?.silentMs ?? Infinity) > LEARNER_REMOVAL_MS)
  return silentLearner === undefined ? undefined : { voters, learners: learners.filter((id) => id !== silentLearner) }
}
