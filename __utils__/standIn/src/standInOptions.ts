import { type Address, type TargetRole } from '@briarpick/types'

/** Options of a stand-in target. */
export interface StandInOptions {
  readonly service: string
  readonly database: string
  readonly instance: string
  readonly dataCentre: string
  readonly listen: Address
  /** Address that it announces, such as that of a fault-injecting proxy in front of it; by default the listening address. */
  readonly advertise?: Address
  readonly role: TargetRole
  readonly term: number
  readonly primary?: Address
  /** RPC addresses of the proxies to which it announces itself. */
  readonly announceTo: readonly Address[]
  /** Concurrency limit: statements that run at once. */
  readonly slots: number
  readonly maxConnections: number
  /** Delay before the startup of a new connection, in ms. */
  readonly connectMs: number
  /** Replication lag, in ms. */
  readonly lagMs: number
  /** Service time of a statement, in ms. */
  readonly statementMs: number
}

/** Defaults of the options. */
export const STAND_IN_DEFAULTS = {
  role: 'replica', term: 1, slots: 2, maxConnections: 16, connectMs: 12, lagMs: 20, statementMs: 0,
} as const
