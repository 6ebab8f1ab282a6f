import { type Address } from './address.js'
import { type TargetState } from './target.js'

/** One target of a database, as control knows it. */
export interface Member {
  readonly instance: string
  readonly dataCentre: string
  readonly address: Address
  readonly state: TargetState
  /** Start of the target's process, in Unix ms; absent if it does not say. */
  readonly startedAt?: number
  /** Statements that the target works on at the same time; absent if it does not say. */
  readonly slots?: number
}

/** The proxy that alone may use a database's targets. The epoch grows with each assignment. */
export interface HomeAssignment {
  readonly proxy: string
  readonly address: Address
  readonly epoch: number
}

/** `forming`: no primary yet; `open`: writes land; `promoting`: writes are frozen under the new term. */
export type ViewState = 'forming' | 'open' | 'promoting'

/** Control's decision about one database. */
export interface DatabaseView {
  readonly service: string
  readonly database: string
  readonly term: number
  readonly state: ViewState
  readonly primary: string | null
  /** The target that is being promoted by the platform. */
  readonly heir?: string | null
  readonly inSync: readonly string[]
  readonly members: readonly Member[]
  readonly home: HomeAssignment | null
  readonly homeEpoch: number
  /** Index of the log entry that last changed the view. */
  readonly changedAt: number
}
