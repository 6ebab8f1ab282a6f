import { type Address } from './address.js'
import { type LogPosition } from './logPosition.js'

/** The part that a target plays in its database. */
export type TargetRole = 'primary' | 'replica'

/** Whether a target takes new work. */
export type TargetState = 'serving' | 'leaving'

/** What a target says of itself, about once a second. */
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
  /** Start of the target's process, in Unix ms; absent if it does not say. */
  readonly startedAt?: number
  /** Grows with each announcement of one start; absent if it does not say. */
  readonly sequence?: number
  /** Statements that the target works on at the same time; absent if it does not say. */
  readonly slots?: number
}

/** What a target answers when a home asks for its status. */
export interface TargetStatus {
  readonly instance: string
  readonly role: TargetRole
  readonly term: number
  readonly position: LogPosition
}
