import { type Access, type Address, type LogPosition, type StatementErrorKind, type TargetRole, type TransactionState } from '@briarpick/types'

/** Command to a target. Commands with an id belong to a caller's statement; the home issues the others itself. */
export type TargetCommand =
  | { readonly kind: 'statement', readonly id: string, readonly text: string, readonly mustSee: LogPosition | null }
  | { readonly kind: 'execute', readonly id: string, readonly name: string, readonly args: string, readonly mustSee: LogPosition | null }
  | { readonly kind: 'begin', readonly id: string, readonly access: Access, readonly mustSee: LogPosition | null }
  | { readonly kind: 'rollback' }
  | { readonly kind: 'set', readonly name: string, readonly value: string }
  /** The name is a word; the shape is any text. */
  | { readonly kind: 'prepare', readonly name: string, readonly access: Access, readonly shape: string }
  | { readonly kind: 'deallocate', readonly name: string }
  /** Clears session values and prepared statements. */
  | { readonly kind: 'reset' }
  | { readonly kind: 'status' }
  /** Demotes a primary of a lower term to a replica. */
  | { readonly kind: 'stepDown', readonly term: number }

/** Response of a target to one command. */
export interface TargetResponse {
  readonly rows: readonly string[]
  /** True if the rows took more memory than a process keeps for an answer and were dropped; the rest of the response is as it came. */
  readonly isIncomplete?: boolean
  /** Signature that proves that the target ran the command; null if it sent none. */
  readonly signature: string | null
  readonly error: { readonly kind: StatementErrorKind, readonly text: string } | null
  readonly state: TransactionState
  /** Position that the target has applied. */
  readonly position: LogPosition | null
}

/** Status that a target reports about itself. */
export interface TargetStatusRow {
  readonly role: TargetRole
  readonly term: number
  /** Position received; the applied position may be lower. */
  readonly received: LogPosition
  readonly lagMs: number
}

/** Connection to a target. Responses arrive in the order of the commands. */
export interface TargetLink {
  /**
   * Rejects if the connection closes before the complete response has arrived. The response to a command that the protocol cannot carry,
   * which is not sent, is an error that proves that nothing ran.
   */
  run: (command: TargetCommand) => Promise<TargetResponse>
  isOpen: () => boolean
  onClose: (listener: () => void) => void
  close: () => void
}

/** Why a connection attempt failed. `refused` means that nothing listens there; `silent` is a timeout and proves nothing. */
export type ConnectFailure = 'refused' | 'silent' | 'misrouted' | 'connectionLimit'

/** Result of a connection attempt. */
export type ConnectResult =
  | { readonly kind: 'open', readonly link: TargetLink }
  | { readonly kind: 'failed', readonly reason: ConnectFailure }

/** Target to connect to. It rejects the connection if it is not this instance of this database. */
export interface ConnectRequest {
  readonly address: Address
  readonly database: string
  readonly instance: string
  /** Team that the connection serves; null for probes, and for statements of callers without a team. */
  readonly team: string | null
  readonly timeoutMs: number
}

/** Client side of the protocol of one type of target. */
export interface TargetDriver {
  connect: (request: ConnectRequest) => Promise<ConnectResult>
  /** Parses the response to a status command; undefined if it contains no status. */
  readStatus: (answer: TargetResponse) => TargetStatusRow | undefined
}
