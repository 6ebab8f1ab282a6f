/** A customer's team: its callers are known by their keys, and its operations are limited over all proxies together. */
export interface Team {
  readonly name: string
  /** Digests of the team's keys; the keys themselves stay in the operator's document. */
  readonly keyDigests: readonly string[]
  /** Operations per second, over all databases and proxies; absent if the team has no limit. */
  readonly ratePerS?: number
  /** Operations that may exceed the rate at once; 0 if absent. */
  readonly burst?: number
}

/** The tolerance with which the rate limits of teams are kept, as agreed with the operator. */
export interface RateLimitTolerance {
  /** Length of the sliding window in which operations are counted, in ms. */
  readonly windowMs: number
  /** Allowed excess, as a fraction of what the limit allows in a window. */
  readonly overage: number
  /** Allowed excess besides, in operations. */
  readonly slack: number
}

/** Demand of a team on one database; sent by its home. */
export interface TeamDemand {
  readonly team: string
  /** Operations that callers asked for, refused ones included, as a fraction of the team's limit; above 1 if they exceed it. */
  readonly wanted: number
}

/** Part of a team's limit that the home of one database may use, as a fraction of the whole limit. */
export interface TeamShare {
  readonly team: string
  readonly share: number
}

/** Shares of one database, as the leader last set them; each set replaces the earlier one. A home confirms a version once it uses it. */
export interface DatabaseShares {
  readonly database: string
  /** Home epoch for which the shares are. */
  readonly epoch: number
  /** Control term and number of this set: a later leader's versions are higher. */
  readonly version: readonly [term: number, number: number]
  /** Share of each team that is not listed in `shares`. */
  readonly base: number
  /** Teams whose shares are moved; the home reports their demand. */
  readonly shares: readonly TeamShare[]
  /** Time for which no home has used these shares before this one, in ms; absent for none. It counts with the first shares only. */
  readonly idleMs?: number
}

/** Tokens of a team that a home borrows from control, one for each operation. */
export interface TeamLoan {
  readonly team: string
  readonly tokens: number
}

/** Tokens that control lends to the home of a database. */
export interface DatabaseLoans {
  readonly database: string
  readonly epoch: number
  readonly loans: readonly TeamLoan[]
}
