import { type Address, type DatabaseView, type HomeReport, type LogPosition } from '@briarpick/types'
import { type ErrorData } from '@briarpick/error'
import { type ServicePolicy } from '@briarpick/bundle'
import { type TransactionStatus } from '@briarpick/pg-wire'
import { type TargetConnection } from '@briarpick/pg-target'
import { type Metrics } from '@briarpick/metrics'

/** Consistency that the caller requires of a read. */
export interface Consistency {
  /** Session whose own writes the read must see; if neither it nor a token is given, the read must see every acknowledged write. */
  readonly session?: string
  /** Watermark presented by the caller. */
  readonly token?: LogPosition
  /** Maximum age of the data, in ms. */
  readonly maxAgeMs?: number
  /** True if the read must see every write acknowledged before it. */
  readonly current?: boolean
}

/**
 * Transaction blocks in a request: `begins` leaves one open, `ends` ends the open one, `whole` contains a complete one,
 * `none` does neither.
 */
export type TransactionUse = 'none' | 'begins' | 'ends' | 'whole'

/** A batch of messages for a database. */
export interface HomeRequest {
  /** Protocol messages, up to and including the final Query or Sync. */
  readonly bytes: Buffer
  /** Zero-based indexes of the ParseComplete messages to drop, because the caller sent no matching Parse. */
  readonly dropParseComplete: readonly number[]
  readonly access: 'read' | 'write'
  readonly transaction: TransactionUse
  readonly consistency: Consistency
  /** Idempotency key of a write. */
  readonly key?: string
  /** Digest of the request, used to detect that a key is reused for a different request. */
  readonly keyDigest?: string
  /** Name of the caller; queued requests are served round-robin by caller. */
  readonly caller: string
  /** Time until the deadline, in ms. */
  readonly deadlineMs: number
}

/** Source of a response: a target, or the response stored with the idempotency key. */
export type ServedBy = 'replica' | 'primary' | 'key'

/** Result of a request; its messages were already written to the sink. */
export type HomeReply =
  | {
    readonly kind: 'done'
    readonly status: TransactionStatus
    readonly servedBy: ServedBy
    /** Watermark after a write. */
    readonly token?: LogPosition
  }
  | { readonly kind: 'failed', readonly status: TransactionStatus, readonly error: ErrorData }

/** Receives response messages; a returned promise applies backpressure. */
export type ReplySink = (bytes: Buffer) => Promise<void> | undefined

/** One caller's session on a home, with at most one open transaction. */
export interface HomeSession {
  run: (req: HomeRequest, sink: ReplySink) => Promise<HomeReply>
  /** Asks the target to cancel the running statement. */
  cancel: () => void
  /** Rolls back the open transaction. */
  close: () => void
}

/** The home of one database: the proxy that executes its requests and acknowledges its writes. */
export interface Home {
  createSession: () => HomeSession
  /** Applies a changed view. */
  setView: (view: DatabaseView) => void
  report: () => HomeReport
  /** Rejects new requests, waits up to the timeout for running ones, and closes all connections. */
  release: (timeoutMs: number) => Promise<void>
  /** Number of queued and running requests. */
  load: () => number
  /** Stops the home at once; connections in use are closed when they are released. */
  close: () => void
}

/** Options of a home. */
export interface HomeOptions {
  readonly view: DatabaseView
  readonly epoch: number
  readonly dataCentre: string
  readonly policy: () => ServicePolicy
  /** True while the lease is valid and no later epoch of this home is known. */
  readonly holdsLease: () => boolean
  readonly connect: (address: Address) => Promise<TargetConnection>
  /** Called when the report has changed and a renewal should be sent at once. */
  readonly onReportChange: () => void
  readonly metrics: Metrics
}
