import { type LogPosition } from './logPosition.js'

/** What a statement does to data. */
export type Access = 'read' | 'write'

/** Where a session stands: outside a transaction, inside one, or inside one that failed and can only be rolled back. */
export type TransactionState = 'idle' | 'open' | 'failed'

/** What an error of a target or of briarpick says. */
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

/** Whether a statement ran. */
export type ExecutionOutcome = 'notRun' | 'ran' | 'unknown'

/** What each error kind proves about a statement that was sent to a target. The only copy of this knowledge. */
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
  failed: 'ran',
  timeout: 'ran',
  outcomeUnknown: 'unknown',
}

/** One statement of a caller. `text` is what the target must receive unchanged. */
export type CallerAction =
  | { readonly kind: 'begin', readonly readOnly: boolean }
  | { readonly kind: 'commit', readonly text: string }
  | { readonly kind: 'rollback' }
  | { readonly kind: 'query', readonly access: Access, readonly text: string }
  | { readonly kind: 'execute', readonly name: string, readonly args: string }
  | { readonly kind: 'set', readonly name: string, readonly value: string }
  | { readonly kind: 'prepare', readonly name: string, readonly access: Access, readonly shape: string }
  | { readonly kind: 'deallocate', readonly name: string }

/** A caller's statement with the id that it gave it. */
export interface CallerStatement {
  readonly id: string
  readonly action: CallerAction
}

/** A session value as `[name, value]`. */
export type SessionValue = readonly [name: string, value: string]

/** What a home runs on a target. A prepared statement travels with its shape, since names belong to one caller. */
export type HomeAction =
  | { readonly kind: 'query', readonly access: Access, readonly text: string }
  | { readonly kind: 'execute', readonly access: Access, readonly shape: string, readonly args: string }
  | { readonly kind: 'commit', readonly text: string }
  | { readonly kind: 'rollback' }

/** Freshness that a read demands. */
export interface Freshness {
  /** True if every acknowledged write must be seen. */
  readonly current: boolean
  /** Otherwise, writes acknowledged longer ago than this must be seen, in ms. */
  readonly maxAgeMs: number
  /** Position of the session's own last write. */
  readonly seen: LogPosition | null
}

/** A statement on its way from an entry to the home of its database. */
export interface StatementRequest {
  readonly database: string
  readonly id: string
  /** Key of the open transaction, unique over all entries; null for a single statement. */
  readonly transaction: string | null
  /** Set on the first statement of a transaction. */
  readonly begins: Access | null
  /** Id that the caller gave to its BEGIN; null unless `begins` is set. */
  readonly beginId: string | null
  readonly action: HomeAction
  readonly values: readonly SessionValue[]
  readonly freshness: Freshness
  /** 0 is the highest. */
  readonly priority: number
  /** Time in which an answer is of full use, in ms. */
  readonly aimMs: number
  /** Time that the caller had waited before it could send the statement, in ms. */
  readonly ageMs: number
  /** Time until the answer is of no use, in ms. */
  readonly deadlineMs: number
}

/** Why a statement got no success, and what is known of it. */
export interface StatementFailure {
  readonly kind: 'error'
  readonly error: StatementErrorKind
  /** Text for the caller and the logs. */
  readonly text: string
  readonly fate: ExecutionOutcome
  /** Reason code for counters and logs. */
  readonly reason: string
  /** When to come back, in ms. */
  readonly retryAfterMs: number | null
}

/** The end of a statement. */
export type StatementReply =
  | {
    readonly kind: 'done'
    readonly rows: readonly string[]
    readonly signature: string
    /** Position of the target's log, as the target gave it. */
    readonly position: LogPosition | null
  }
  | StatementFailure

/** Creates a failure. */
export function statementFailure (
  error: StatementErrorKind,
  reason: string,
  opts: { readonly text?: string, readonly fate?: ExecutionOutcome, readonly retryAfterMs?: number } = {}
): StatementFailure {
  return {
    kind: 'error',
    error,
    reason,
    text: opts.text ?? reason,
    fate: opts.fate ?? OUTCOME_OF_ERROR[error],
    retryAfterMs: opts.retryAfterMs ?? null,
  }
}
