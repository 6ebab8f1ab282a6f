import { type AcceptedVoters, type Ballot, type FoundingRequest, type FoundingResponse, isHigherBallot, isSameBallot } from './foundingTypes.js'
import { orderCandidates, selectInitialVoters, WANTED_INITIAL_VOTERS } from './selectInitialVoters.js'

/** What a candidate knows of the founding of its cluster; times are in ms on a clock of its process. */
export interface FoundingState {
  /** Name of the candidate. */
  readonly self: string
  /** ID of this process in its ballots. */
  readonly proposer: string
  /** Names of the seeds, which are the same for all candidates. */
  readonly seeds: readonly string[]
  /** The latest response of each seed. */
  readonly responses: ReadonlyMap<string, FoundingResponse>
  /** The proposal of this candidate that is under way. */
  readonly proposal: Proposal | null
  /** The highest round heard of or proposed, 0 if none. A round is never proposed again, whatever order responses come in. */
  readonly highestRound: number
  /** When a majority of the seeds had responded that they take part. */
  readonly majorityAt: number | null
  /** When no further candidate had to be waited for. */
  readonly settledAt: number | null
  /** Earliest time of the next proposal. */
  readonly retryAt: number
  /** When a leader of the cluster was first heard of. */
  readonly leaderAt: number | null
  /** The initial voters that were chosen; null as long as they are unknown. */
  readonly chosen: readonly string[] | null
}

/** A proposal: without voters it asks for promises. */
export interface Proposal {
  readonly ballot: Ballot
  readonly voters: readonly string[] | null
}

/** What a candidate is to do: go on, take part as one of the initial voters, or join the cluster under a new identity. */
export type FoundingDecision =
  | { readonly kind: 'undecided' }
  | { readonly kind: 'initialVoter', readonly voters: readonly string[] }
  | { readonly kind: 'join' }

/** What a step depends on besides the responses. */
export interface FoundingInputs {
  /** Current time, in ms. */
  readonly now: number
  /** True if another control daemon names a leader. */
  readonly hasLeader: boolean
  /** A random number in [0, 1). */
  readonly random: number
}

/**
 * Time for which a candidate waits for others after a majority of the seeds has responded, in ms: all machines start within
 * 300 ms, and the start of a process takes some time.
 */
const SETTLE_MS = 500
/** Delay by which a candidate proposes later than the one before it in the order of the initial voters, in ms; covers a proposal. */
const TURN_MS = 200
/** Delay before a proposal that follows one that a higher ballot has ended, in ms. */
const RETRY_MS = { min: 200, max: 800 }
/** Time for which a candidate that hears of a leader waits to learn whether it is an initial voter, in ms. */
const LEADER_GRACE_MS = 1000

/** Returns the state of a candidate that has heard of nothing yet. */
export function createFoundingState (opts: Pick<FoundingState, 'self' | 'proposer' | 'seeds'>): FoundingState {
  return {
    ...opts,
    responses: new Map(),
    proposal: null,
    highestRound: 0,
    majorityAt: null,
    settledAt: null,
    retryAt: -Infinity,
    leaderAt: null,
    chosen: null,
  }
}

/** Returns the request that a candidate sends to each seed at the moment. */
export function foundingRequest ({ self, proposal, chosen }: FoundingState): FoundingRequest {
  return {
    candidate: self,
    ...proposal === null ? {} : { ballot: proposal.ballot },
    ...proposal?.voters == null ? {} : { voters: proposal.voters },
    ...chosen === null ? {} : { chosen },
  }
}

/** Records the response of a seed. */
export function recordResponse (state: FoundingState, seed: string, response: FoundingResponse): FoundingState {
  const responses = new Map([...state.responses, [seed, response]])
  const highestRound = Math.max(state.highestRound, response.vote?.promised?.round ?? 0)
  return { ...state, responses, highestRound, chosen: state.chosen ?? response.chosen ?? findChosen(state, responses) }
}

/** Records that another daemon has told the initial voters. */
export function recordChosen (state: FoundingState, voters: readonly string[]): FoundingState {
  return { ...state, chosen: state.chosen ?? voters }
}

/** Returns the state after what is due has been done: a proposal is begun, asks for acceptance, or is given up. */
export function stepFounding (state: FoundingState, inputs: FoundingInputs): FoundingState {
  const next = recordTimes(state, inputs)
  if (next.chosen !== null) return next
  return next.proposal === null ? propose(next, inputs) : advance(next, next.proposal, inputs)
}

/** Returns what a candidate is to do. */
export function decideFounding ({ self, chosen, leaderAt }: FoundingState, now: number): FoundingDecision {
  if (chosen !== null) return chosen.includes(self) ? { kind: 'initialVoter', voters: chosen } : { kind: 'join' }
  return leaderAt !== null && now - leaderAt >= LEADER_GRACE_MS ? { kind: 'join' } : { kind: 'undecided' }
}

function recordTimes (state: FoundingState, { now, hasLeader }: FoundingInputs): FoundingState {
  const majorityAt = state.majorityAt ?? (countTakingPart(state) >= majorityOf(state) ? now : null)
  const isComplete = state.responses.size === state.seeds.length && knownCandidates(state).length >= WANTED_INITIAL_VOTERS
  const isSettled = majorityAt !== null && (isComplete || now - majorityAt >= SETTLE_MS)
  return {
    ...state,
    majorityAt,
    settledAt: state.settledAt ?? (isSettled ? now : null),
    leaderAt: hasLeader ? state.leaderAt ?? now : null,
  }
}

/** Begins a proposal once it is this candidate's turn. The order spares most candidates from ending each other's proposals. */
function propose (state: FoundingState, { now }: FoundingInputs): FoundingState {
  const turn = knownCandidates(state).indexOf(state.self)
  if (state.settledAt === null || now < Math.max(state.retryAt, state.settledAt + turn * TURN_MS)) return state
  const round = state.highestRound + 1
  return { ...state, highestRound: round, proposal: { ballot: { round, proposer: state.proposer }, voters: null } }
}

function advance (state: FoundingState, proposal: Proposal, { now, random }: FoundingInputs): FoundingState {
  const promised = [...state.responses.values()].flatMap(({ vote }) => vote?.promised ?? [])
  if (promised.some((ballot) => isHigherBallot(ballot, proposal.ballot))) {
    return { ...state, proposal: null, retryAt: now + RETRY_MS.min + random * (RETRY_MS.max - RETRY_MS.min) }
  }
  if (proposal.voters !== null) return state
  const promises = [...state.responses.values()].filter(({ vote }) => isSameBallot(vote?.promised, proposal.ballot))
  if (promises.length < majorityOf(state)) return state
  const earlier = latestAccepted(promises.map(({ vote }) => vote?.accepted ?? null))
  const voters = earlier?.voters ?? selectInitialVoters(knownCandidates(state))
  return { ...state, proposal: { ...proposal, voters } }
}

/** Returns the voters that a majority of the seeds has accepted under one ballot. */
function findChosen (state: FoundingState, responses: ReadonlyMap<string, FoundingResponse>): readonly string[] | null {
  const accepted = [...responses.values()].flatMap(({ vote }) => vote?.accepted ?? [])
  const isChosen = ({ ballot }: AcceptedVoters): boolean =>
    accepted.filter((other) => isSameBallot(other.ballot, ballot)).length >= majorityOf(state)
  return accepted.find(isChosen)?.voters ?? null
}

function latestAccepted (all: ReadonlyArray<AcceptedVoters | null>): AcceptedVoters | null {
  return all.reduce((latest, next) => next !== null && isHigherBallot(next.ballot, latest?.ballot ?? null) ? next : latest, null)
}

/** Returns the candidates in the order of preference, this one among them. */
function knownCandidates ({ self, seeds, responses }: FoundingState): readonly string[] {
  return orderCandidates(seeds, new Set([self, ...[...responses.values()].flatMap(({ candidates }) => candidates)]))
}

function countTakingPart ({ responses }: FoundingState): number {
  return [...responses.values()].filter(({ vote }) => vote !== null).length
}

function majorityOf ({ seeds }: FoundingState): number {
  return Math.floor(seeds.length / 2) + 1
}
