import { answerFounding } from './answerFounding.js'
import {
  createFoundingState,
  decideFounding,
  type FoundingDecision,
  type FoundingInputs,
  foundingRequest,
  type FoundingState,
  recordChosen,
  recordResponse,
  stepFounding,
} from './decideFounding.js'
import { type FoundingRequest, type FoundingResponse, type SeedVote } from './foundingTypes.js'

/** Options of a founding node. */
export interface FoundingNodeOptions {
  /** Name of this control daemon. */
  readonly name: string
  /** ID of this process, unique among all that ever run. */
  readonly proposer: string
  /** Names of the seeds at the first start of the whole system. */
  readonly seeds: readonly string[]
  /** True if this daemon has a disk that has been empty since the first start, so that it may be one of the initial voters. */
  readonly isCandidate: boolean
  /** The vote of this seed; null if this daemon is no seed, or may have forgotten what it agreed to. */
  readonly vote: SeedVote | null
  /** Stores a vote before it counts; an error means that it does not. */
  readonly storeVote: (vote: SeedVote) => void
}

/** How far the founding of a cluster is, as seen by one control daemon. */
export interface FoundingStatus {
  /** True if this daemon is a seed that takes part in the agreement. */
  readonly takesPart: boolean
  /** Seeds that take part, as far as they have responded to this candidate. */
  readonly takingPart: readonly string[]
  /** Seeds that responded and take no part. */
  readonly notTakingPart: readonly string[]
  readonly candidates: readonly string[]
  readonly chosen: readonly string[] | null
}

/** One control daemon in the founding of its cluster: as a seed it agrees, as a candidate it proposes. It has no input or output. */
export interface FoundingNode {
  /** Handles the request of another daemon. */
  respond: (req: FoundingRequest, now: number) => FoundingResponse
  /** Does what is due. */
  step: (inputs: FoundingInputs) => void
  /** The request that this candidate sends to the other seeds at the moment. */
  request: () => FoundingRequest
  /** Handles the response of a seed to a request of this candidate. */
  receive: (seed: string, response: FoundingResponse) => void
  /** What this candidate is to do. */
  decision: (now: number) => FoundingDecision
  status: (now: number) => FoundingStatus
}

/** Time for which a candidate counts as running after its latest request, in ms. */
const CANDIDATE_TTL_MS = 1000

/** Creates the founding node of a process. */
export function createFoundingNode (opts: FoundingNodeOptions): FoundingNode {
  let vote = opts.vote
  let state: FoundingState = createFoundingState({ self: opts.name, proposer: opts.proposer, seeds: opts.seeds })
  const heardAt = new Map<string, number>()

  function candidates (now: number): readonly string[] {
    for (const [name, at] of heardAt) if (now - at > CANDIDATE_TTL_MS) heardAt.delete(name)
    return [...heardAt.keys()]
  }

  function respond (req: FoundingRequest, now: number): FoundingResponse {
    if (req.candidate !== null) heardAt.set(req.candidate, now)
    if (req.chosen !== undefined) state = recordChosen(state, req.chosen)
    if (vote !== null) {
      const next = answerFounding(vote, req)
      if (next !== vote) opts.storeVote(next)
      vote = next
    }
    return { vote, candidates: candidates(now), chosen: state.chosen }
  }

  return {
    respond,
    step (inputs) {
      if (!opts.isCandidate) return
      state = stepFounding(state, inputs)
      if (opts.seeds.includes(opts.name)) state = recordResponse(state, opts.name, respond(foundingRequest(state), inputs.now))
    },
    request: () => foundingRequest(state),
    receive (seed, response) {
      state = recordResponse(state, seed, response)
    },
    decision: (now) => opts.isCandidate ? decideFounding(state, now) : { kind: 'undecided' },
    status (now) {
      const responses = [...state.responses]
      return {
        takesPart: vote !== null,
        takingPart: responses.filter(([, response]) => response.vote !== null).map(([seed]) => seed),
        notTakingPart: responses.filter(([, response]) => response.vote === null).map(([seed]) => seed),
        candidates: candidates(now),
        chosen: state.chosen,
      }
    },
  }
}
