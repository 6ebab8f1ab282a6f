import { type Address, type LogPosition, ORIGIN, type Reachability, type TargetRole } from '@briarpick/types'
import { BriarpickError } from '@briarpick/error'
import { type GroupStatus, groupStatements, readGroupStatus, type TargetConnection } from '@briarpick/pg-target'

/** What a home knows of a target. */
export interface TargetKnowledge {
  readonly reachability: Reachability
  /** Time of the last answer, in ms on the monotonic clock. */
  readonly answeredAt: number
  readonly incarnation: string
  readonly role: TargetRole | null
  readonly term: number
  readonly position: LogPosition
}

/** Options of a monitor. */
export interface TargetMonitorOptions {
  readonly address: Address
  readonly connect: (address: Address) => Promise<TargetConnection>
  /** Called after each answer and each failure; `askedAt` is when the status was asked for. */
  readonly onStatus: (knowledge: TargetKnowledge, askedAt: number) => void
}

/** Watches one target over a connection of its own. */
export interface TargetMonitor {
  knowledge: () => TargetKnowledge
  /** Asks again at once, and often for a while. */
  hurry: () => void
  /** Takes over a status that came with another answer. */
  learn: (status: GroupStatus, askedAt: number) => void
  /** Runs a statement of the group; undefined if the target can't be reached. */
  order: (statement: string) => Promise<string | null | undefined>
  close: () => void
}

/** Time between two questions while nothing waits for the answer, in ms; all monitors of a process ask in the same turn. */
const IDLE_POLL_MS = 50
/** Time between two questions while a write or read waits for a position, in ms. */
const BUSY_POLL_MS = 2
/** How long polling stays fast after the last request for it, in ms. */
const BUSY_FOR_MS = 100
/** Time after which a target that does not answer counts as silent, in ms. */
const ANSWER_TIMEOUT_MS = 500

/** Starts watching a target. */
export function createTargetMonitor (opts: TargetMonitorOptions): TargetMonitor {
  let known: TargetKnowledge = { reachability: 'silent', answeredAt: performance.now(), incarnation: '', role: null, term: 0, position: ORIGIN }
  let connection: TargetConnection | undefined
  let timer: NodeJS.Timeout | undefined
  let asking = false
  let learnedAskedAt = -Infinity
  let busyUntil = 0
  let closed = false

  /** An answer that was asked for before the last one taken over is out of date. */
  function learn (status: GroupStatus, askedAt: number): void {
    if (askedAt < learnedAskedAt) return
    learnedAskedAt = askedAt
    const { incarnation, role, term, position } = status
    known = { reachability: 'ok', answeredAt: performance.now(), incarnation, role, term, position }
    opts.onStatus(known, askedAt)
  }

  function fail (err: unknown): void {
    connection?.close()
    connection = undefined
    known = { ...known, reachability: isRefused(err) ? 'refused' : 'silent' }
    opts.onStatus(known, performance.now())
  }

  async function ask (): Promise<void> {
    if (asking || closed) return
    asking = true
    clearTimeout(timer)
    const askedAt = performance.now()
    try {
      connection ??= await opts.connect(opts.address)
      learn(readGroupStatus(await connection.query(groupStatements.status, ANSWER_TIMEOUT_MS)), askedAt)
    } catch (err) {
      if (!closed) fail(err)
    }
    asking = false
    schedule()
  }

  function schedule (): void {
    if (closed) {
      connection?.close()
      return
    }
    const now = performance.now()
    const pause = now < busyUntil ? BUSY_POLL_MS : IDLE_POLL_MS - now % IDLE_POLL_MS
    timer = setTimeout(() => { ask().catch(() => {}) }, pause)
  }

  ask().catch(() => {})

  return {
    knowledge: () => known,
    hurry () {
      const wasIdle = performance.now() >= busyUntil
      busyUntil = performance.now() + BUSY_FOR_MS
      if (wasIdle) ask().catch(() => {})
    },
    learn,
    async order (statement) {
      const own = await opts.connect(opts.address).catch(() => undefined)
      if (own === undefined) return undefined
      try {
        const rows = await own.query(statement, ANSWER_TIMEOUT_MS)
        return rows[0]?.[0] ?? null
      } catch {
        return undefined
      } finally {
        own.close()
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
/** The library's message when a target closes the connection before the start-up has ended. */
const CLOSED_AT_START = 'Connection terminated unexpectedly'

/** True if the target's VM actively turned the connection away or closed it; false if nothing was heard. */
function isRefused (err: unknown): boolean {
  if (!(err instanceof BriarpickError)) return false
  if (err.code === 'ERR_BRIARPICK_OUTCOME_UNKNOWN') return true
  const { cause } = err
  if (!(cause instanceof Error)) return false
  return ('code' in cause && REFUSED_CODES.has(cause.code)) || cause.message === CLOSED_AT_START
}
