import { type Address } from '@briarpick/types'

/** Kind of operation: a read of the session's own write, a read that accepts old data, a write, a write with an idempotency key. */
export type OperationKind = 'read' | 'staleRead' | 'write' | 'keyedWrite'

/** Outcome of an operation as its caller observed it. */
export type OperationOutcome = 'done' | 'refused' | 'unknown' | 'error'

/** One operation. Times are in ms on the monotonic clock. */
export interface Operation {
  readonly kind: OperationKind
  readonly database: string
  readonly session: string
  /** Id of the row that it reads or writes. */
  readonly id: string
  readonly arrivedAt: number
  readonly endedAt: number
  readonly outcome: OperationOutcome
  /** Code of a refusal, an unknown outcome or an error. */
  readonly code?: string
  readonly attempts: number
}

/** Relative weight of each kind of operation; the weights need not add up to 1. */
export type OperationMix = Readonly<Record<OperationKind, number>>

/** Options of a load run. */
export interface LoadOptions {
  /** Addresses on which the proxies accept callers. */
  readonly proxies: readonly Address[]
  readonly databases: readonly string[]
  /** Mean arrivals per second, independent of response times (open loop). */
  readonly ratePerSecond: number
  readonly seconds: number
  readonly seed: number
  readonly mix: OperationMix
  /** Sessions per database. */
  readonly sessions: number
  /** Maximum data age that a stale read accepts, in ms. */
  readonly maxAgeMs: number
  readonly connectionsPerProxy: number
  readonly user?: string
  readonly password?: string
}

/** Result of a load run. */
export interface LoadResult {
  readonly operations: readonly Operation[]
  /** Consistency violations observed during the run, one text each. */
  readonly broken: readonly string[]
}

/** Operation mix of the demo and of the command line. */
export const DEFAULT_MIX: OperationMix = { read: 0.7, staleRead: 0.15, write: 0.1, keyedWrite: 0.05 }
