import {
  type Address,
  type ControlCommand,
  type DatabaseView,
  type HomeReport,
  type Reachability,
  type WitnessReport,
  type WitnessRequest,
} from '@briarpick/types'

/** A proxy that holds a lease. */
export interface LiveProxy {
  readonly proxy: string
  readonly dataCentre: string
  readonly linkAddress: Address
  readonly leaving: boolean
  /** Relative capacity of its VM for homes, from 0 to 1; absent for 1. */
  readonly homeFitness?: number
  /** True while it gets too little processor time for its homes; false if absent. */
  readonly overloaded?: boolean
  /** True while, and for some seconds after, it is overloaded; false if absent. */
  readonly recentlyOverloaded?: boolean
  /** Number of homes whose capacity is kept for other work on its VM; 0 if absent. */
  readonly reservedHomes?: number
  /** Start of its present lease, renewals included, in ms on the leader's monotonic clock. */
  readonly leasedSince?: number
}

/** The result of a witness's probe, with the time of its arrival in ms on the leader's monotonic clock. */
export interface WitnessFinding extends WitnessReport {
  readonly proxy: string
  readonly at: number
}

/** A round of witness probes of one target in one term. */
export interface WitnessRound {
  readonly instance: string
  readonly term: number
  /** Time of the first requests to witnesses, in ms on the leader's monotonic clock. */
  readonly requestedAt: number
}

/** Input of the decision about one database; times are in ms on the leader's monotonic clock. */
export interface StepInput {
  readonly now: number
  readonly view: DatabaseView
  /** The home named in the view; undefined if its lease has expired. */
  readonly holder: LiveProxy | undefined
  /** Proxies whose lease is valid or has only just expired; homes and witnesses are chosen from them. */
  readonly proxies: readonly LiveProxy[]
  /** True once every lease that an earlier leader may have granted has expired. */
  readonly earlierLeasesExpired: boolean
  /** The latest report of the home in the view for the view's epoch; undefined if there is none. */
  readonly report: HomeReport | undefined
  readonly findings: readonly WitnessFinding[]
  /** The current round of witness probes; undefined if there is none. */
  readonly round: WitnessRound | undefined
  /** False if the configuration does not name the database; absent if there are no such configurations. */
  readonly isConfigured?: boolean
  /** Number of homes of each proxy; absent if homes are not balanced. */
  readonly homeCounts?: ReadonlyMap<string, number>
  /** Time since which this node leads; absent if homes are assigned whatever their fitness. */
  readonly leaderSince?: number
  /** Time since which the leader has known the present home; undefined if the home may not be moved now. */
  readonly homeSince?: number
  /**
   * Time of the latest announcement of a target that reached this leader, -Infinity if none did; absent if targets announce
   * themselves to control only when something changes.
   */
  readonly announcedAt?: (instance: string) => number
  /** True if a target has said that it leaves and no process of it that serves has announced itself since. */
  readonly hasWithdrawn?: (instance: string) => boolean
}

/** Time limits of failure detection, in ms, and number of witnesses. */
export interface StepPolicy {
  /** Time after which a primary that refuses connections counts as lost. */
  readonly refusedAfterMs: number
  /** Time after which a primary that does not respond counts as lost. */
  readonly silentAfterMs: number
  /** Number of proxies asked to probe a suspected primary. */
  readonly witnesses: number
  /** Time to wait for the findings of all witnesses. */
  readonly witnessTimeoutMs: number
}

/** A function that decides the next step of one database. */
export type DecideStep = (input: StepInput, policy: StepPolicy) => DatabaseStep

/** A request to a proxy, the witness, to probe a target that the home does not reach. */
export interface WitnessCall {
  readonly proxy: string
  readonly request: WitnessRequest
}

/** Why a database gets a home: it had none, or its home released it, has restarted, or has no valid lease. */
export type HomeChangeReason = 'noHome' | 'released' | 'restarted' | 'leaseExpired'

/** What an assignment of a home was decided from, for the log. */
export interface HomeChoiceInputs {
  readonly reason: HomeChangeReason
  readonly proxy: string
  /** Fitness of the chosen proxy, and its homes before this one. */
  readonly fitness: number
  readonly homes: number
  readonly previous: string | undefined
  /** Number of proxies to choose from, and the highest fitness among them. */
  readonly candidates: number
  readonly highestFitness: number
}

/** Why a home is moved: another VM is far fitter, or its own VM is overloaded and a comparable one is not. */
export type HomeMoveReason = 'fitter' | 'overloaded'

/** A planned move of a home, with the inputs of the decision for the log. */
export interface HomeMove {
  readonly reason: HomeMoveReason
  readonly from: string
  /** The proxy that is expected to be the next home; it is chosen anew once the home is released. */
  readonly to: string
  /** Fitness per home of both VMs with this home. */
  readonly fromScore: number
  readonly toScore: number
}

/** What the removal of a target was decided from, for the log. */
export interface RemovalInputs {
  readonly instance: string
  readonly reachability: Reachability
  /** Time since its last response to the home, in ms, as the home reports it. */
  readonly silentMs: number
  /** Time for which it can't have announced itself, in ms; absent if announcements are not counted. */
  readonly unannouncedMs?: number
  /** True if it has said that it leaves. */
  readonly hasWithdrawn: boolean
}

/** The next step of control for a database. */
export interface DatabaseStep {
  /** Command to propose; absent for none. */
  readonly command?: ControlCommand
  /** What the command was decided from, if it assigns a home. */
  readonly homeChoice?: HomeChoiceInputs
  /** What the command was decided from, if it removes a target. */
  readonly removal?: RemovalInputs
  readonly calls: readonly WitnessCall[]
  /** The round of witness probes to keep for the next decision. */
  readonly round: WitnessRound | undefined
  /** True if the home is asked to release the database: it does not reach a primary that a witness reaches, or it is moved. */
  readonly releaseHome: boolean
  /** The move for which the home is asked to release the database; absent for none. */
  readonly homeMove?: HomeMove
}

/** The step that does nothing. */
export const NO_STEP: DatabaseStep = { calls: [], round: undefined, releaseHome: false }

/** A step that only proposes a command. */
export function commandStep (command: ControlCommand): DatabaseStep {
  return { ...NO_STEP, command }
}
