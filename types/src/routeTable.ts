/** Which writes a read on a route must see. */
export type RouteConsistency = 'current' | 'session' | 'boundedAge'

/** How callers of one name reach a database. */
export interface Route {
  readonly name: string
  /** Name that callers connect to. */
  readonly callerName: string
  /** The replicated database that serves them. */
  readonly database: string
  readonly consistency: RouteConsistency
  /** Oldest data that a read accepts, in ms; 0 where every write must be seen. */
  readonly maxAgeMs: number
  /** Longest time of one statement, in ms. */
  readonly statementTimeoutMs: number
  /** Time in which an operation should be answered, in ms. */
  readonly aimMs: number
  /** 0 is the highest. */
  readonly priority: number
}

/** Limits of one database's targets. */
export interface DatabaseLimits {
  readonly database: string
  /** Connections that one target accepts, from all proxies. */
  readonly maxConnections: number
  /** Replicas that have received a write before a target acknowledges it. */
  readonly syncReplicas: number
}

/** A version of the routes, as operators submit it whole. */
export interface RouteTable {
  readonly version: number
  readonly routes: readonly Route[]
  readonly databases: readonly DatabaseLimits[]
  /** Time after which an idle transaction may be ended, in ms. */
  readonly transactionIdleMs: number
}

/** What differs between two versions of the routes. */
export interface RouteChange {
  readonly fromVersion: number
  readonly version: number
  /** Routes that are new or changed. */
  readonly changed: readonly Route[]
  /** Names of routes that are gone. */
  readonly removed: readonly string[]
  readonly databases: readonly DatabaseLimits[]
  readonly transactionIdleMs: number
}

/** Newer routes for a proxy, whole or as a change of those that it has. */
export type RouteUpdate =
  | { readonly kind: 'whole', readonly table: RouteTable }
  | { readonly kind: 'change', readonly change: RouteChange }
  /** A long update of one of the other kinds, as `packUpdate` makes it. */
  | { readonly kind: 'packed', readonly packed: string }

/** A route table with the document that it was read from, which is given back as it came. */
export interface RouteTableDocument {
  readonly table: RouteTable
  readonly document: string
}

/** Control's answer to a submitted route table. */
export type SubmitRoutesResult =
  | { readonly kind: 'accepted', readonly version: number }
  /** A version at least as high holds; nothing changed. */
  | { readonly kind: 'superseded', readonly version: number, readonly holdingVersion: number }
