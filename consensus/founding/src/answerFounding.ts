import { type FoundingRequest, isHigherBallot, type SeedVote } from './foundingTypes.js'

/** The vote of a seed that has agreed to nothing yet. */
export const NO_VOTE: SeedVote = { promised: null, accepted: null }

/**
 * Returns the vote of a seed after a request. A promise or acceptance counts once the returned vote is stored, so it has to be
 * on disk, if the seed has one, before the response is sent.
 */
export function answerFounding (vote: SeedVote, { ballot, voters }: FoundingRequest): SeedVote {
  if (ballot === undefined || (vote.promised !== null && isHigherBallot(vote.promised, ballot))) return vote
  if (voters === undefined) return isHigherBallot(ballot, vote.promised) ? { ...vote, promised: ballot } : vote
  const isKnown = vote.accepted !== null && !isHigherBallot(ballot, vote.accepted.ballot)
  return isKnown ? vote : { promised: ballot, accepted: { ballot, voters } }
}
