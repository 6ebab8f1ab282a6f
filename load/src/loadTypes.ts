import { type Address } from '@briarpick/types'

/** What an operation does. */
export type OperationKind = 'read' | 'staleRead' | 'write' | 'keyedWrite'

/** How an operation ended, as its caller saw it. */
export type OperationOutcome = 'done' | 'refused' | 'unknown' | 'error'

/** One operation. Times are in ms on the monotonic clock. */
export interface Operation {
  readonly kind: OperationKind
  readonly database: string
  readonly session: string
  /** Row that it reads or writes. */
  readonly id: string
  readonly arrivedAt: number
  readonly endedAt: number
  readonly outcome: OperationOutcome
  /** Code of a refusal or error. */
  readonly code?: string
  readonly attempts: number
}

/** Parts of each kind of operation; they need not add up to 1. */
export type OperationMix = Readonly<Record<OperationKind, number>>

/** Options of a load. */
export interface LoadOptions {
  /** Where callers connect. */
  readonly proxies: readonly Address[]
  readonly databases: readonly string[]
  /** Arrivals in a second, whatever the answers take. */
  readonly ratePerSecond: number
  readonly seconds: number
  readonly seed: number
  readonly mix: OperationMix
  /** Sessions of each database. */
  readonly sessions: number
  /** Oldest data that a stale read accepts, in ms. */
  readonly maxAgeMs: number
  readonly connectionsPerProxy: number
  readonly user?: string
  readonly password?: string
}

/** What a load saw. */
export interface LoadResult {
  readonly operations: readonly Operation[]
  /** Promises that were seen broken while it ran. */
  readonly broken: readonly string[]
}

/** The mix of the demo and of the command line. */
export const DEFAULT_MIX: OperationMix = { read: 0.7, staleRead: 0.15, write: 0.1, keyedWrite: 0.05 }
