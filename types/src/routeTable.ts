import { type Team } from './team.js'

/** Writes that a read must see: `current`, all acknowledged ones; `session`, the session's own; `boundedAge`, those older than a limit. */
export type RouteConsistency = 'current' | 'session' | 'boundedAge'

/** Maps a caller name to a database, with the policy for its statements. */
export interface Route {
  readonly name: string
  /** Name that callers connect to. */
  readonly callerName: string
  /** The replicated database that serves the route. */
  readonly database: string
  readonly consistency: RouteConsistency
  /** Maximum staleness of a read, in ms; 0 if it must see every write. */
  readonly maxAgeMs: number
  /** Timeout of one statement, in ms. */
  readonly statementTimeoutMs: number
  /** Latency objective of an operation, in ms. */
  readonly aimMs: number
  /** 0 is the highest. */
  readonly priority: number
  /** True if callers need no key; absent means false. Only used if the table has teams. */
  readonly isPublic?: boolean
}

/** Limits that apply to the targets of one database. */
export interface DatabaseLimits {
  readonly database: string
  /** Maximum connections to one target, over all proxies. */
  readonly maxConnections: number
  /** Number of replicas that must have received a write before a target acknowledges it. */
  readonly syncReplicas: number
}

/** One version of all routes, as submitted by an operator. */
export interface RouteTable {
  readonly version: number
  readonly routes: readonly Route[]
  readonly databases: readonly DatabaseLimits[]
  /** Idle time after which a transaction may be aborted, in ms. */
  readonly transactionIdleMs: number
  /** Teams, by which callers are identified and limited; absent if this deployment knows no teams and serves every caller. */
  readonly teams?: readonly Team[]
}

/** The difference between two versions of the routes. */
export interface RouteChange {
  readonly fromVersion: number
  readonly version: number
  /** Routes added or changed. */
  readonly changed: readonly Route[]
  /** Names of routes removed. */
  readonly removed: readonly string[]
  readonly databases: readonly DatabaseLimits[]
  readonly transactionIdleMs: number
  /** Changes of the teams; absent if the new version knows no teams. */
  readonly teams?: {
    /** Teams added or changed. */
    readonly changed: readonly Team[]
    /** Names of teams removed. */
    readonly removed: readonly string[]
  }
}

/** Update to a newer version of the routes: the whole table or a change to the version that the proxy has. */
export type RouteUpdate =
  | { readonly kind: 'whole', readonly table: RouteTable }
  | { readonly kind: 'change', readonly change: RouteChange }
  /** A large update of one of the other kinds, compressed by `packUpdate`. */
  | { readonly kind: 'packed', readonly packed: string }

/** A route table with the document that it was parsed from; operators who read the routes get this document unchanged. */
export interface RouteTableDocument {
  readonly table: RouteTable
  readonly document: string
}

/** Result of submitting a route table. */
export type SubmitRoutesResult =
  | { readonly kind: 'accepted', readonly version: number }
  /** The version in force, `holdingVersion`, is the same or higher; nothing changed. */
  | { readonly kind: 'superseded', readonly version: number, readonly holdingVersion: number }
