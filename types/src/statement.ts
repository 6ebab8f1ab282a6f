import { type LogPosition } from './logPosition.js'

/** Whether a statement reads or writes data. */
export type Access = 'read' | 'write'

/** Transaction state of a session: no transaction, an open one, or a failed one that can only be rolled back. */
export type TransactionState = 'idle' | 'open' | 'failed'

/** Kinds of errors, returned by a target or by briarpick itself. */
export type StatementErrorKind =
  | 'busy'
  | 'lagging'
  | 'readOnly'
  | 'misrouted'
  | 'connectionLimit'
  | 'aborted'
  | 'failed'
  | 'timeout'
  | 'unknownStatement'
  | 'unknownDatabase'
  | 'tooLarge'
  | 'malformed'
  | 'outcomeUnknown'
  /** The caller's key is not one of the keys in force. */
  | 'unauthenticated'

/** Whether a statement was executed. */
export type ExecutionOutcome = 'notRun' | 'ran' | 'unknown'

/** What each error kind implies about the execution of a statement that was sent to a target. Defined only here. */
export const OUTCOME_OF_ERROR: Readonly<Record<StatementErrorKind, ExecutionOutcome>> = {
  busy: 'notRun',
  lagging: 'notRun',
  readOnly: 'notRun',
  misrouted: 'notRun',
  connectionLimit: 'notRun',
  unknownStatement: 'notRun',
  malformed: 'notRun',
  tooLarge: 'notRun',
  unknownDatabase: 'notRun',
  aborted: 'notRun',
  unauthenticated: 'notRun',
  failed: 'ran',
  timeout: 'ran',
  outcomeUnknown: 'unknown',
}

/**
 * One statement of a caller. `text` must reach the target unchanged. Texts of callers and targets may contain lone surrogates, which stand
 * for bytes that are not UTF-8; encoding such a text as UTF-8 loses them.
 */
export type CallerAction =
  | { readonly kind: 'begin', readonly readOnly: boolean }
  | { readonly kind: 'commit', readonly text: string }
  | { readonly kind: 'rollback' }
  | { readonly kind: 'query', readonly access: Access, readonly text: string }
  | { readonly kind: 'execute', readonly name: string, readonly args: string }
  | { readonly kind: 'set', readonly name: string, readonly value: string }
  | { readonly kind: 'prepare', readonly name: string, readonly access: Access, readonly shape: string }
  | { readonly kind: 'deallocate', readonly name: string }

/** A caller's statement with the id assigned by the caller. */
export interface CallerStatement {
  readonly id: string
  readonly action: CallerAction
}

/** A session setting made by `set`, as `[name, value]`. */
export type SessionValue = readonly [name: string, value: string]

/**
 * An action that a home runs on a target. An `execute` carries the statement's shape instead of its name, since the names of
 * prepared statements are local to one caller.
 */
export type HomeAction =
  | { readonly kind: 'query', readonly access: Access, readonly text: string }
  | { readonly kind: 'execute', readonly access: Access, readonly shape: string, readonly args: string }
  | { readonly kind: 'commit', readonly text: string }
  | { readonly kind: 'rollback' }

/** Freshness required by a read. */
export interface Freshness {
  /** True if the read must see every acknowledged write. */
  readonly current: boolean
  /** Otherwise, the maximum staleness in ms: writes acknowledged longer ago must be seen. */
  readonly maxAgeMs: number
  /** Position of the session's last write, which the read must see; null if there is none. */
  readonly seen: LogPosition | null
}

/** A statement sent by an entry to the home of its database. */
export interface StatementRequest {
  readonly database: string
  readonly id: string
  /** Name of the caller's team; null if the deployment knows no teams, or on a public route without a known key. */
  readonly team: string | null
  /** Key of the open transaction, unique across all entries; null for a statement outside a transaction. */
  readonly transaction: string | null
  /** Access mode of the transaction; set on its first statement only. */
  readonly begins: Access | null
  /** Id that the caller assigned to its BEGIN; null unless `begins` is set. */
  readonly beginId: string | null
  readonly action: HomeAction
  readonly values: readonly SessionValue[]
  readonly freshness: Freshness
  /** 0 is the highest. */
  readonly priority: number
  /** Latency objective of the operation, in ms, of which `ageMs` has passed already. */
  readonly aimMs: number
  /** Time that the caller had waited before it could send the statement, in ms. */
  readonly ageMs: number
  /** Time left until the response is useless to the caller, in ms. */
  readonly deadlineMs: number
}

/** An unsuccessful statement, and whether it was executed. */
export interface StatementFailure {
  readonly kind: 'error'
  readonly error: StatementErrorKind
  /** Human-readable text for the caller and the logs. */
  readonly text: string
  readonly fate: ExecutionOutcome
  /** Reason code for counters and logs. */
  readonly reason: string
  /** Delay after which to retry, in ms; null if none is known. */
  readonly retryAfterMs: number | null
}

/** Result of a statement. */
export type StatementReply =
  | {
    readonly kind: 'done'
    readonly rows: readonly string[]
    readonly signature: string
    /** Position of the target's log, as reported by the target. */
    readonly position: LogPosition | null
  }
  | StatementFailure

/** Creates a failure; `text` defaults to the reason code. What is known of its execution follows from the error kind alone. */
export function statementFailure (
  error: StatementErrorKind,
  reason: string,
  opts: { readonly text?: string, readonly retryAfterMs?: number } = {}
): StatementFailure {
  return {
    kind: 'error',
    error,
    reason,
    text: opts.text ?? reason,
    fate: OUTCOME_OF_ERROR[error],
    retryAfterMs: opts.retryAfterMs ?? null,
  }
}
