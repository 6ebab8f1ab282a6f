import { type Address } from './address.js'
import { type SignedBundle } from './bundle.js'
import { type RouteUpdate } from './routeTable.js'
import { type LogPosition } from './logPosition.js'
import { type Announcement, type TargetRole } from './target.js'
import { type DatabaseView } from './view.js'

/** How a home last found a target. `refused` is stronger evidence of a loss than `silent`. */
export type Reachability = 'ok' | 'refused' | 'silent'

/** A home's finding about one target. */
export interface TargetReport {
  readonly instance: string
  readonly reachability: Reachability
  /** Time since the target last answered, in ms. */
  readonly silentMs: number
  readonly role: TargetRole | null
  readonly term: number
  readonly position: LogPosition
}

/** A home's request to replace the primary of a term. */
export interface PromotionRequest {
  readonly fromTerm: number
  readonly heir: string
}

/** A home's finding about its database. */
export interface HomeReport {
  readonly database: string
  readonly epoch: number
  readonly term: number
  /** Findings about all targets; empty while all is as the view has it, which keeps renewals small. */
  readonly targets: readonly TargetReport[]
  /** Last position known to be committed, acknowledged or not. */
  readonly committed: LogPosition
  /** Set while the view is promoting, once a target took the new term. */
  readonly promoted: string | null
  /** Term that the promoted target took, where the platform numbers terms. */
  readonly promotedTerm?: number
  /** A promotion that the home asks for, decided on the view's term. */
  readonly promotion?: PromotionRequest | null
  /** Replicas that hold every acknowledged write and should be the in-sync set; null while there is nothing to ask. */
  readonly wantInSync: readonly string[] | null
  /** True once the home has stopped all use of the database's targets. */
  readonly released: boolean
}

/** A finding of a proxy that was asked to look at a target from its own place. */
export interface WitnessReport {
  readonly database: string
  readonly instance: string
  readonly term: number
  readonly reachable: boolean
}

/** A request of control to a proxy: try to reach a target and report. */
export interface WitnessRequest {
  readonly database: string
  readonly instance: string
  readonly term: number
  readonly address: Address
}

/** A proxy's renewal of its lease. */
export interface RenewRequest {
  readonly proxy: string
  /** Differs for each start of the process. */
  readonly incarnation: string
  readonly dataCentre: string
  readonly linkAddress: Address
  readonly rpcAddress: Address
  /** Highest index of the control log that the proxy has applied. */
  readonly seen: number
  readonly bundleVersion: number
  /** Version of the routes in force on the proxy; absent if it takes none. */
  readonly routesVersion?: number
  /** How well the proxy's VM can carry homes, from 0 to 1; absent for 1. */
  readonly homeFitness?: number
  readonly leaving: boolean
  readonly homes: readonly HomeReport[]
  readonly announcements: readonly Announcement[]
  readonly witnessed: readonly WitnessReport[]
}

/** Control's answer to a renewal. */
export type RenewResult =
  | { readonly kind: 'notLeader', readonly leader: Address | null }
  | {
    readonly kind: 'granted'
    /** Length of the lease in ms, from the moment the proxy sent the renewal. */
    readonly leaseMs: number
    /** Index up to which the proxy knows all views once it has these. */
    readonly index: number
    /** True if there are more views; the proxy renews again at once. */
    readonly more: boolean
    readonly views: readonly DatabaseView[]
    readonly bundle: SignedBundle | null
    /** A newer version of the routes; null if the proxy has the newest. */
    readonly routes?: RouteUpdate | null
    /** Addresses of all control nodes known. */
    readonly controls?: readonly Address[]
    readonly witness: readonly WitnessRequest[]
    /** Databases that the proxy should give up as their home. */
    readonly release: readonly string[]
  }
