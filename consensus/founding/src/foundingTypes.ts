/** Number of a proposal: a later round is higher, and of one round that of the proposer with the higher ID. */
export interface Ballot {
  readonly round: number
  /** Unique for each process that ever proposes, so that no two proposals share a ballot. */
  readonly proposer: string
}

/** Initial voters that a seed has accepted, and the ballot of their proposal. */
export interface AcceptedVoters {
  readonly ballot: Ballot
  readonly voters: readonly string[]
}

/** What a seed has agreed to. It counts only while it is known to be complete: on the seed's disk, or in the process that agreed. */
export interface SeedVote {
  /** The highest ballot seen; the seed accepts no lower one. */
  readonly promised: Ballot | null
  readonly accepted: AcceptedVoters | null
}

/** Request of a candidate, a machine with a disk that may found the cluster; it may be repeated without effect. */
export interface FoundingRequest {
  /** Name of the candidate; null if it only tells the initial voters that were chosen. */
  readonly candidate: string | null
  /** Asks for a promise not to accept a lower ballot and, with `voters`, to accept these. */
  readonly ballot?: Ballot
  readonly voters?: readonly string[]
  /** The initial voters that were chosen, if the sender knows them. */
  readonly chosen?: readonly string[]
}

/** Response of a control daemon to a candidate: what it knows after the request. */
export interface FoundingResponse {
  /** Null if the daemon is no seed, or may have forgotten what it agreed to, so that it takes no part. */
  readonly vote: SeedVote | null
  /** Names of the candidates that the daemon has heard of recently. */
  readonly candidates: readonly string[]
  /** The initial voters that were chosen; null if the daemon does not know them. */
  readonly chosen: readonly string[] | null
}

/** Returns true if the first ballot is higher than the second; any ballot is higher than none. */
export function isHigherBallot (ballot: Ballot, other: Ballot | null): boolean {
  if (other === null) return true
  return ballot.round === other.round ? ballot.proposer > other.proposer : ballot.round > other.round
}

/** Returns true if two ballots are of the same proposal. */
export function isSameBallot (a: Ballot | null | undefined, b: Ballot | null | undefined): boolean {
  return a != null && b != null && a.round === b.round && a.proposer === b.proposer
}
