import { type Address } from './address.js'
import { type SignedBundle } from './bundle.js'
import { type RouteUpdate } from './routeTable.js'
import { type LogPosition } from './logPosition.js'
import { type Announcement, type TargetRole } from './target.js'
import { type DatabaseLoans, type DatabaseShares, type TeamDemand, type TeamLoan } from './team.js'
import { type DatabaseView } from './view.js'

/** Result of a home's last probe of a target. `refused` is stronger evidence of a failure than `silent`, a probe without response. */
export type Reachability = 'ok' | 'refused' | 'silent'

/** A home's observation of one target. */
export interface TargetReport {
  readonly instance: string
  readonly reachability: Reachability
  /** Time since the target's last response, in ms. */
  readonly silentMs: number
  readonly role: TargetRole | null
  readonly term: number
  readonly position: LogPosition
}

/** A home's request to replace the primary of term `fromTerm` by the instance `heir`. */
export interface PromotionRequest {
  readonly fromTerm: number
  readonly heir: string
  /**
   * True if an instance leads in a term below the view's, since an heir that was named before it never led: `heir` is to be promoted
   * without a new term of the view, so that the platform's term reaches it. False if absent.
   */
  readonly raisesTerm?: boolean
}

/** A home's report on its database, sent with each renewal. */
export interface HomeReport {
  readonly database: string
  readonly epoch: number
  readonly term: number
  /** Observations of all targets; empty while they match the view, which keeps renewals small. */
  readonly targets: readonly TargetReport[]
  /** Highest position known to be committed, whether acknowledged to the caller or not. */
  readonly committed: LogPosition
  /** The promoted instance; set while the view is promoting, once a target has adopted the new term. */
  readonly promoted: string | null
  /** Term adopted by the promoted target; set where the platform assigns terms. */
  readonly promotedTerm?: number
  /** Promotion requested by the home, decided on the view's term. */
  readonly promotion?: PromotionRequest | null
  /** The view's `unconfirmedLoss`, once all other targets hold everything acknowledged before it. */
  readonly confirmedLoss?: number
  /** Requested in-sync set: replicas that have every acknowledged write; null if no change is requested. */
  readonly wantInSync: readonly string[] | null
  /** True once the home no longer uses any of the database's targets. */
  readonly released: boolean
  /** Shares of the teams' limits in use; sent whole to a leader that asked for them, else only their version. */
  readonly teamShares?: Pick<DatabaseShares, 'version'> & Partial<Pick<DatabaseShares, 'base' | 'shares'>>
  /** Teams whose demand has changed since the last report by so much that another share would fit better. */
  readonly teamDemand?: readonly TeamDemand[]
  /** Tokens for operations that wait since the buckets of their teams are empty. */
  readonly teamLoans?: readonly TeamLoan[]
}

/** Result of a witness probe: whether the proxy reached the target from its own VM. */
export interface WitnessReport {
  readonly database: string
  readonly instance: string
  readonly term: number
  readonly reachable: boolean
}

/** Control's request that a proxy act as a witness: probe the target and report whether it is reachable. */
export interface WitnessRequest {
  readonly database: string
  readonly instance: string
  readonly term: number
  readonly address: Address
}

/** A proxy's renewal of its lease. */
export interface RenewRequest {
  readonly proxy: string
  /** Identifies one run of the process; new after each restart. */
  readonly incarnation: string
  readonly dataCentre: string
  readonly linkAddress: Address
  readonly rpcAddress: Address
  /** Highest index of the control log that the proxy has applied. */
  readonly seen: number
  readonly bundleVersion: number
  /** Version of the routes that the proxy has, 0 before the first one; absent if it uses no routes. */
  readonly routesVersion?: number
  /**
   * True if the proxy has no routes yet, or not those to which the last change applies; absent from earlier builds, whose version 0
   * also stands for no routes.
   */
  readonly needsWholeRoutes?: boolean
  /** Suitability of the proxy's VM for running homes, from 0 to 1; 1 if absent. */
  readonly homeFitness?: number
  /** True while the proxy gets too little processor time for its homes; false if absent. */
  readonly overloaded?: boolean
  /** Time for which the proxy has been listening at its link address, in ms; absent if it keeps no limits of teams. */
  readonly listeningMs?: number
  readonly leaving: boolean
  readonly homes: readonly HomeReport[]
  readonly announcements: readonly Announcement[]
  readonly witnessed: readonly WitnessReport[]
}

/** Control's response to a renewal. */
export type RenewResult =
  | { readonly kind: 'notLeader', readonly leader: Address | null }
  | {
    readonly kind: 'granted'
    /** Lease duration in ms, counted from the time at which the proxy sent the renewal. */
    readonly leaseMs: number
    /** Log index up to which the proxy is up to date once it has applied `views`. */
    readonly index: number
    /** True if more views remain; the proxy then renews again immediately. */
    readonly more: boolean
    readonly views: readonly DatabaseView[]
    readonly bundle: SignedBundle | null
    /** Update to the latest version of the routes; null if the proxy has it already. */
    readonly routes?: RouteUpdate | null
    /** Addresses of all known control nodes. */
    readonly controls?: readonly Address[]
    readonly witness: readonly WitnessRequest[]
    /** Shares of the teams' limits that changed, for the proxy's homes. */
    readonly teamShares?: readonly DatabaseShares[]
    /** Tokens lent to the proxy's homes. */
    readonly teamLoans?: readonly DatabaseLoans[]
    /** Databases whose shares this leader does not know; their homes send them whole with the next renewal. */
    readonly unknownShares?: readonly string[]
    /** Databases whose home role the proxy must release. */
    readonly release: readonly string[]
  }
