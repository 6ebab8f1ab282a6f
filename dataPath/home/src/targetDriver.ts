import { type Access, type Address, type LogPosition, type StatementErrorKind, type TargetRole, type TransactionState } from '@briarpick/types'

/** What a home asks of a target. Statements of callers carry the caller's id; the others are the home's own. */
export type TargetCommand =
  | { readonly kind: 'statement', readonly id: string, readonly text: string, readonly mustSee: LogPosition | null }
  | { readonly kind: 'execute', readonly id: string, readonly name: string, readonly args: string, readonly mustSee: LogPosition | null }
  | { readonly kind: 'begin', readonly id: string, readonly access: Access, readonly mustSee: LogPosition | null }
  | { readonly kind: 'rollback' }
  | { readonly kind: 'set', readonly name: string, readonly value: string }
  | { readonly kind: 'prepare', readonly name: string, readonly access: Access, readonly shape: string }
  /** Clears session values and prepared names. */
  | { readonly kind: 'reset' }
  | { readonly kind: 'status' }
  /** Makes a primary of a lower term a replica. */
  | { readonly kind: 'stepDown', readonly term: number }

/** A target's answer to one command. */
export interface TargetAnswer {
  readonly rows: readonly string[]
  /** Proof that the target ran the command; null if it gave none. */
  readonly signature: string | null
  readonly error: { readonly kind: StatementErrorKind, readonly text: string } | null
  readonly state: TransactionState
  /** Position that the target's data has reached. */
  readonly position: LogPosition | null
}

/** A target's answer about itself. */
export interface TargetStatusRow {
  readonly role: TargetRole
  readonly term: number
  /** Position received; the data may have reached less. */
  readonly received: LogPosition
  readonly lagMs: number
}

/** A connection to a target. Commands are answered in order. */
export interface TargetLink {
  /** Rejects if the connection ends before the answer has come whole. */
  run: (command: TargetCommand) => Promise<TargetAnswer>
  isOpen: () => boolean
  onClose: (listener: () => void) => void
  close: () => void
}

/** Why a connection could not be had. `refused` shows that nobody listens, `silent` shows nothing. */
export type ConnectFailure = 'refused' | 'silent' | 'misrouted' | 'connectionLimit'

/** Outcome of an attempt to connect. */
export type ConnectResult =
  | { readonly kind: 'open', readonly link: TargetLink }
  | { readonly kind: 'failed', readonly reason: ConnectFailure }

/** Whom to connect to. The target turns the connection away if it is not that instance of that database. */
export interface ConnectRequest {
  readonly address: Address
  readonly database: string
  readonly instance: string
  readonly timeoutMs: number
}

/** The protocol of a kind of targets. */
export interface TargetDriver {
  connect: (request: ConnectRequest) => Promise<ConnectResult>
  /** Reads the answer to a status command; undefined if it holds none. */
  readStatus: (answer: TargetAnswer) => TargetStatusRow | undefined
}
