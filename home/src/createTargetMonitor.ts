import { type Address, type LogPosition, ORIGIN, type Reachability, type TargetRole } from '@briarpick/types'
import { BriarpickError } from '@briarpick/error'
import { type GroupStatus, groupStatements, readGroupStatus, type TargetConnection } from '@briarpick/pg-target'

/** Last observed status of a target. */
export interface TargetObservation {
  readonly reachability: Reachability
  /** Time of the last response, in ms on the monotonic clock. */
  readonly answeredAt: number
  /** Identifies one start of the target's process; empty until the first response. */
  readonly incarnation: string
  readonly role: TargetRole | null
  readonly term: number
  readonly position: LogPosition
}

/** Options of a monitor. */
export interface TargetMonitorOptions {
  readonly address: Address
  readonly connect: (address: Address) => Promise<TargetConnection>
  /**
   * Called after each response and each failure; `askedAt` is the time when the status was requested, in ms on the
   * monotonic clock.
   */
  readonly onStatus: (observation: TargetObservation, askedAt: number) => void
}

/** Polls the status of one target over a dedicated connection. */
export interface TargetMonitor {
  observation: () => TargetObservation
  /** Polls at once, and at the short interval for a while. */
  pollFast: () => void
  /** Applies a status that was read over another connection. */
  applyStatus: (status: GroupStatus, askedAt: number) => void
  /**
   * Runs a statement of the replication group on a new connection and resolves to the first column of its first row, or
   * null; undefined if the target can't be reached or the statement fails.
   */
  execute: (statement: string) => Promise<string | null | undefined>
  close: () => void
}

/**
 * Poll interval while nothing waits for a position, in ms. Polls are aligned to multiples of it, so that all monitors of
 * a process poll together.
 */
const IDLE_POLL_INTERVAL_MS = 50
/** Poll interval while a write or a read waits for a position, in ms. */
const FAST_POLL_INTERVAL_MS = 2
/** Time for which the short interval stays in effect after `pollFast`, in ms. */
const FAST_POLL_DURATION_MS = 100
/** Query timeout after which a target counts as silent, in ms. */
const RESPONSE_TIMEOUT_MS = 500

/** Starts polling a target. */
export function createTargetMonitor (opts: TargetMonitorOptions): TargetMonitor {
  let observation: TargetObservation = { reachability: 'silent', answeredAt: performance.now(), incarnation: '', role: null, term: 0, position: ORIGIN }
  let connection: TargetConnection | undefined
  let timer: NodeJS.Timeout | undefined
  let polling = false
  let lastAskedAt = -Infinity
  let fastUntil = 0
  let closed = false

  /** Ignores a status that was requested earlier than the last applied one. */
  function applyStatus (status: GroupStatus, askedAt: number): void {
    if (askedAt < lastAskedAt) return
    lastAskedAt = askedAt
    const { incarnation, role, term, position } = status
    observation = { reachability: 'ok', answeredAt: performance.now(), incarnation, role, term, position }
    opts.onStatus(observation, askedAt)
  }

  function handleFailure (err: unknown): void {
    connection?.close()
    connection = undefined
    observation = { ...observation, reachability: isRefused(err) ? 'refused' : 'silent' }
    opts.onStatus(observation, performance.now())
  }

  async function poll (): Promise<void> {
    if (polling || closed) return
    polling = true
    clearTimeout(timer)
    const askedAt = performance.now()
    try {
      connection ??= await opts.connect(opts.address)
      applyStatus(readGroupStatus(await connection.query(groupStatements.status, RESPONSE_TIMEOUT_MS)), askedAt)
    } catch (err) {
      if (!closed) handleFailure(err)
    }
    polling = false
    schedule()
  }

  function schedule (): void {
    if (closed) {
      connection?.close()
      return
    }
    const now = performance.now()
    const delayMs = now < fastUntil ? FAST_POLL_INTERVAL_MS : IDLE_POLL_INTERVAL_MS - now % IDLE_POLL_INTERVAL_MS
    timer = setTimeout(() => { poll().catch(() => {}) }, delayMs)
  }

  poll().catch(() => {})

  return {
    observation: () => observation,
    pollFast () {
      const wasIdle = performance.now() >= fastUntil
      fastUntil = performance.now() + FAST_POLL_DURATION_MS
      if (wasIdle) poll().catch(() => {})
    },
    applyStatus,
    async execute (statement) {
      const ownConnection = await opts.connect(opts.address).catch(() => undefined)
      if (ownConnection === undefined) return undefined
      try {
        const rows = await ownConnection.query(statement, RESPONSE_TIMEOUT_MS)
        return rows[0]?.[0] ?? null
      } catch {
        return undefined
      } finally {
        ownConnection.close()
      }
    },
    close () {
      closed = true
      clearTimeout(timer)
      connection?.close()
    },
  }
}

const REFUSED_CODES: ReadonlySet<unknown> = new Set(['ECONNREFUSED', 'ECONNRESET', 'EPIPE'])
/** Message of the PostgreSQL client library when the target closes the connection during start-up. */
const CLOSED_AT_START = 'Connection terminated unexpectedly'

/** True if the target's VM refused, reset or closed the connection; false if there was no response. */
function isRefused (err: unknown): boolean {
  if (!(err instanceof BriarpickError)) return false
  if (err.code === 'ERR_BRIARPICK_OUTCOME_UNKNOWN') return true
  const { cause } = err
  if (!(cause instanceof Error)) return false
  return ('code' in cause && REFUSED_CODES.has(cause.code)) || cause.message === CLOSED_AT_START
}
