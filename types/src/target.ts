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
}

/** What a target answers when a home asks for its status. */
export interface TargetStatus {
  readonly instance: string
  readonly role: TargetRole
  readonly term: number
  readonly position: LogPosition
}
