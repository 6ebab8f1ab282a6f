import { type Address } from './address.js'
import { type LogPosition } from './logPosition.js'

/** Replication role of a target. */
export type TargetRole = 'primary' | 'replica'

/** Whether a target accepts new work; `leaving` means that it is draining. */
export type TargetState = 'serving' | 'leaving'

/** A target's description of itself, sent about once a second. */
export interface Announcement {
  readonly service: string
  readonly database: string
  readonly instance: string
  readonly dataCentre: string
  readonly address: Address
  readonly role: TargetRole
  readonly term: number
  readonly position: LogPosition
  readonly state: TargetState
  /** Start time of the target's process, in Unix ms; absent if the target does not report it. */
  readonly startedAt?: number
  /** Increases with each announcement of one run of the process; absent if the target does not report it. */
  readonly sequence?: number
  /** Number of statements that the target executes concurrently; absent if the target does not report it. */
  readonly slots?: number
}

/** A target's response to a status query of a home. */
export interface TargetStatus {
  readonly instance: string
  readonly role: TargetRole
  readonly term: number
  readonly position: LogPosition
}
