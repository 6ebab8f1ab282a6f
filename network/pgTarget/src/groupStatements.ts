import { type Address, type LogPosition, type TargetRole } from '@briarpick/types'

/** A target's answer to the status statement. */
export interface GroupStatus {
  readonly instance: string
  /** Differs for each start of the target. */
  readonly incarnation: string
  readonly role: TargetRole
  readonly term: number
  readonly position: LogPosition
}

/** Statements that a database group understands about itself. */
export const groupStatements = {
  /** One row, one column: a GroupStatus as JSON. */
  status: 'SELECT group_status()',
  /** Makes a target primary of a term; refused if the target knows a later one. */
  promote: (term: number) => `SELECT group_promote(${term})`,
  /** Makes a target a replica of the primary of a term. */
  follow: (term: number, primary: Address) => `SELECT group_follow(${term}, '${primary.host}', ${primary.port})`,
} as const

/** Reads the row of the status statement. */
export function readGroupStatus (rows: ReadonlyArray<ReadonlyArray<string | null>>): GroupStatus {
  return JSON.parse(rows[0]?.[0] ?? 'null') as GroupStatus
}
