import { type Address, type TargetRole } from '@briarpick/types'

/** How a stand-in target starts. */
export interface StandInOptions {
  readonly service: string
  readonly database: string
  readonly instance: string
  readonly dataCentre: string
  readonly listen: Address
  /** Address that it announces; another one if a fault-injecting proxy stands before it. */
  readonly advertise?: Address
  readonly role: TargetRole
  readonly term: number
  readonly primary?: Address
  /** Proxies to announce to. */
  readonly announceTo: readonly Address[]
  /** Statements at work at the same time. */
  readonly slots: number
  readonly maxConnections: number
  /** Time that a new connection takes, in ms. */
  readonly connectMs: number
  /** Delay of replication, in ms. */
  readonly lagMs: number
  /** Time that each statement holds its slot, in ms. */
  readonly statementMs: number
}

/** Sizes of a stand-in where nothing else is said. */
export const STAND_IN_DEFAULTS = {
  role: 'replica', term: 1, slots: 2, maxConnections: 16, connectMs: 12, lagMs: 20, statementMs: 0,
} as const
