import { type Address } from './address.js'
import { type TargetState } from './target.js'

/** A target of a database, as recorded by control. */
export interface Member {
  readonly instance: string
  readonly dataCentre: string
  readonly address: Address
  readonly state: TargetState
  /** Start time of the target's process, in Unix ms; absent if the target does not report it. */
  readonly startedAt?: number
  /** Number of statements that the target executes concurrently; absent if the target does not report it. */
  readonly slots?: number
}

/** A process of a target that left the database by its own announcement. */
export interface DepartedTarget {
  readonly instance: string
  /** Start time of its process, in Unix ms. */
  readonly startedAt: number
}

/** The proxy with exclusive use of a database's targets. The epoch increases with each assignment. */
export interface HomeAssignment {
  readonly proxy: string
  readonly address: Address
  readonly epoch: number
  /** Fitness of the proxy's VM for homes when it was assigned, from 0 to 1; absent if it is not known. */
  readonly fitness?: number
}

/** `forming`: no primary yet; `open`: writes are accepted; `promoting`: a new term has begun and writes wait for its primary. */
export type ViewState = 'forming' | 'open' | 'promoting'

/** Control's decisions about one database: its term, primary, in-sync set, members and home. */
export interface DatabaseView {
  readonly service: string
  readonly database: string
  readonly term: number
  readonly state: ViewState
  readonly primary: string | null
  /** The instance that the platform is promoting. */
  readonly heir?: string | null
  readonly inSync: readonly string[]
  readonly members: readonly Member[]
  readonly home: HomeAssignment | null
  readonly homeEpoch: number
  /**
   * Index of the log entry by which a target last left or was replaced by one without its log; absent once the home has confirmed
   * that all others hold everything acknowledged before. Until then, their positions do not show what was acknowledged.
   */
  readonly unconfirmedLoss?: number
  /** The last targets that left; a late announcement of one of these processes does not add it again. */
  readonly departed?: readonly DepartedTarget[]
  /** Index of the control log entry that last changed the view. */
  readonly changedAt: number
}
