import { type Address, type LogPosition, type TargetRole } from '@briarpick/types'

/** Status that a target reports. */
export interface GroupStatus {
  readonly instance: string
  /** Unique for each start of the target. */
  readonly incarnation: string
  readonly role: TargetRole
  readonly term: number
  readonly position: LogPosition
}

/** Management statements of a database group. */
export const groupStatements = {
  /** Returns one row with one column, a GroupStatus as JSON. */
  status: 'SELECT group_status()',
  /** Promotes a target to primary of a term; fails if the target knows a later term. */
  promote: (term: number) => `SELECT group_promote(${term})`,
  /** Makes a target a replica of the primary of a term. */
  follow: (term: number, primary: Address) => `SELECT group_follow(${term}, '${primary.host}', ${primary.port})`,
} as const

/** Parses the result of `groupStatements.status`. */
export function readGroupStatus (rows: ReadonlyArray<ReadonlyArray<string | null>>): GroupStatus {
  return JSON.parse(rows[0]?.[0] ?? 'null') as GroupStatus
}
