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

/** Silence after which a voter is removed or replaced, in ms; shorter than the time allowed for a replacement node to join. */
export const VOTER_REPLACEMENT_MS = 3000
/** Silence after which a learner is removed, in ms. */
export const LEARNER_REMOVAL_MS = 30_000
/** Maximum number of log entries that a learner may lag behind when it becomes a voter. */
const MAX_LAG_ENTRIES = 2
/** Smallest number of voters that bears a loss; a set of this size is not reduced, even if fewer voters are desired. */
const MIN_VOTERS = 3

/** Returns the name part of a node ID: all up to the last colon, as a name may be an IPv6 address and an incarnation has no colon. */
export function nodeName (id: NodeId): string {
  const colon = id.lastIndexOf(':')
  return colon < 0 ? id : id.slice(0, colon)
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

/** Returns the silent voters, the one that has been silent for longest first. */
function silentVoters (
  { voters }: VoterSet,
  observations: ReadonlyMap<NodeId, NodeObservation>,
  { self }: NextVotersOptions
): readonly NodeId[] {
  const silentMs = (id: NodeId) => observations.get(id)?.silentMs ?? Infinity
  return voters
    .filter((id) => id !== self && silentMs(id) > VOTER_REPLACEMENT_MS)
    .sort((a, b) => silentMs(a) === silentMs(b) ? 0 : silentMs(b) - silentMs(a))
}

/**
 * Promotes a learner up to the desired number of voters, beyond it to replace a silent voter, which is removed afterwards, and
 * into an even set, which bears one loss more with the same quorum once it is odd.
 */
function promoteLearner (
  current: VoterSet,
  observations: ReadonlyMap<NodeId, NodeObservation>,
  opts: NextVotersOptions
): VoterSet | undefined {
  const { length } = current.voters
  const learner = caughtUpLearner(current, observations)
  const hasSilentVoter = silentVoters(current, observations, opts).length > 0
  const isWanted = hasSilentVoter ? length <= opts.desiredVoters : length < opts.desiredVoters || length % 2 === 0
  if (learner === undefined || !isWanted) return undefined
  return { voters: [...current.voters, learner], learners: current.learners.filter((id) => id !== learner) }
}

/**
 * Removes a silent voter that the set does not need to bear as many losses as desired. Beyond the desired number that holds for
 * each voter. Below it, a set of 2k voters needs k + 1 of them, and without one it needs k of the others: every failure that it
 * bore before it still bears, whether or not the silent voter returns. A set of 2k + 1 voters gains nothing without one of
 * them, and the disk of a voter that is only silent may be needed after further losses.
 */
function removeSilentVoter (
  current: VoterSet,
  observations: ReadonlyMap<NodeId, NodeObservation>,
  opts: NextVotersOptions
): VoterSet | undefined {
  const { length } = current.voters
  const [silentVoter] = silentVoters(current, observations, opts)
  const isEven = length % 2 === 0
  if (silentVoter === undefined || !(isEven || length > Math.max(opts.desiredVoters, MIN_VOTERS))) return undefined
  // A learner that is still catching up will make the number odd, and then the silent voter can stay.
  const awaitsLearner = length < opts.desiredVoters &&
    current.learners.some((id) => (observations.get(id)?.silentMs ?? Infinity) < VOTER_REPLACEMENT_MS)
  return awaitsLearner ? undefined : { voters: current.voters.filter((id) => id !== silentVoter), learners: current.learners }
}

function removeSilentLearner ({ voters, learners }: VoterSet, observations: ReadonlyMap<NodeId, NodeObservation>): VoterSet | undefined {
  const silentLearner = learners.find((id) => (observations.get(id)?.silentMs ?? Infinity) > LEARNER_REMOVAL_MS)
  return silentLearner === undefined ? undefined : { voters, learners: learners.filter((id) => id !== silentLearner) }
}
