import { type Address, type DatabaseView, type HomeReport, type LogPosition } from '@briarpick/types'
import { type ErrorData } from '@briarpick/error'
import { type ServicePolicy } from '@briarpick/bundle'
import { type TransactionStatus } from '@briarpick/pg-wire'
import { type TargetConnection } from '@briarpick/pg-target'
import { type Metrics } from '@briarpick/metrics'

/** What a read must see, as the caller stated it. */
export interface Consistency {
  /** Session whose own writes must be seen; absent for every acknowledged write. */
  readonly session?: string
  /** Watermark that the caller presented. */
  readonly token?: LogPosition
  /** Oldest data that is accepted, in ms. */
  readonly maxAgeMs?: number
  /** True if every write acknowledged before must be seen. */
  readonly current?: boolean
}

/** How a request uses transactions. */
export type TransactionUse = 'none' | 'begins' | 'ends' | 'whole'

/** A batch of messages for a database. */
export interface HomeRequest {
  /** The messages, with the Query or Sync that ends them. */
  readonly bytes: Buffer
  /** Places of the ParseComplete answers that the caller did not ask for, counted from 0. */
  readonly dropParseComplete: readonly number[]
  readonly access: 'read' | 'write'
  readonly transaction: TransactionUse
  readonly consistency: Consistency
  /** Idempotency key of a write. */
  readonly key?: string
  /** Digest of what the key stands for. */
  readonly keyDigest?: string
  /** Whose turn it counts as. */
  readonly caller: string
  /** Time left until the answer is of no use, in ms. */
  readonly deadlineMs: number
}

/** Who served a request. */
export type ServedBy = 'replica' | 'primary' | 'key'

/** The end of an answer; the messages before it went to the sink. */
export type HomeReply =
  | {
    readonly kind: 'done'
    readonly status: TransactionStatus
    readonly servedBy: ServedBy
    /** Watermark after a write. */
    readonly token?: LogPosition
  }
  | { readonly kind: 'failed', readonly status: TransactionStatus, readonly error: ErrorData }

/** Receives answer messages; a promise asks to wait. */
export type ReplySink = (bytes: Buffer) => Promise<void> | undefined

/** One caller's use of a home; it holds at most one open transaction. */
export interface HomeSession {
  run: (req: HomeRequest, sink: ReplySink) => Promise<HomeReply>
  /** Asks the target to stop the statement at work. */
  cancel: () => void
  /** Rolls back what is open. */
  close: () => void
}

/** The home of one database. */
export interface Home {
  createSession: () => HomeSession
  /** Takes over a changed view. */
  setView: (view: DatabaseView) => void
  report: () => HomeReport
  /** Takes no new requests, lets those at work end, and closes all connections. */
  release: (timeoutMs: number) => Promise<void>
  /** Requests waiting or at work. */
  load: () => number
  close: () => void
}

/** Options of a home. */
export interface HomeOptions {
  readonly view: DatabaseView
  readonly epoch: number
  readonly dataCentre: string
  readonly policy: () => ServicePolicy
  /** True while the lease holds and no later epoch is known. */
  readonly holdsLease: () => boolean
  readonly connect: (address: Address) => Promise<TargetConnection>
  /** Asks for a renewal at once, since the report has news. */
  readonly onReportChange: () => void
  readonly metrics: Metrics
}
