import { type StatementFailure, statementFailure, type StatementRequest } from '@briarpick/types'
import { createWaitEstimate } from '@briarpick/admission'
import { admitsWait } from './admitsWait.js'
import { canEverServe, chooseReadTarget, type ReadNeed } from './chooseReadTarget.js'
import { type LaneConnection } from './createLane.js'
import { type GroupTarget } from './createTargetGroup.js'
import { createWorkQueue, type WaitingWork } from './createWorkQueue.js'
import { FIRST_WORK_MS, type HomeContext, isReadRequest, requiredPosition } from './homeContext.js'
import { type LogPosition } from '@briarpick/types'

/** A slot and a connection of a target, granted to one request. */
export interface Grant {
  readonly kind: 'granted'
  readonly target: GroupTarget
  readonly connection: LaneConnection
  /** Position that the target must have when it answers; null where it has it by nature. */
  readonly mustSee: LogPosition | null
  /** Gives the slot back. */
  readonly giveSlot: () => void
}

/** Hands slots to requests by priority. */
export interface Dispatcher {
  /** Resolves with a grant, or with a refusal as soon as it is known that none can come in time. */
  acquire: (request: StatementRequest, avoid: ReadonlySet<string>, until: number) => Promise<Grant | StatementFailure>
  /** Resolves true with a slot of a target for a transaction's own connection, false if none comes in time. */
  acquireSlot: (target: GroupTarget, until: number) => Promise<boolean>
  /** Looks again at who can be served. */
  dispatch: () => void
  refuseAll: () => void
  /** Average time that a statement holds a slot, in ms. */
  heldMs: () => number
  waiting: () => number
}

/** Rank of statements inside transactions: they hold a connection already. */
const TRANSACTION_RANK = -1
/** Longest wait of a request that was admitted, as a part of its time. */
const LONGEST_WAIT_PART = 0.6
/** Longest wait for the successor of a primary, as a part of a request's time. */
const LONGEST_REPLACEMENT_PART = 0.85
/** When to come back while no target can serve, in ms: a replacement of a primary takes about that long. */
const NO_TARGET_RETRY_MS = 500
/** Longest wait while a home still learns about its targets, in ms. */
const STARTING_WAIT_MS = 400

/** Creates a dispatcher without waiting requests. */
export function createDispatcher (context: HomeContext): Dispatcher {
  const { group, now } = context
  const queue = createWorkQueue()
  const estimate = createWaitEstimate(FIRST_WORK_MS)

  function needOf (request: StatementRequest, avoid: ReadonlySet<string>): ReadNeed | undefined {
    const required = requiredPosition(context, request.freshness)
    if (required === undefined) return undefined
    return { required, requiredAgeMs: context.history.ageOf(required, now()), avoid }
  }

  function grantOf (target: GroupTarget, request: StatementRequest, mustSee: LogPosition | null): Grant | undefined {
    const connection = target.lane.take(request.values)
    if (connection === undefined) return undefined
    const since = performance.now()
    let held = true
    return {
      kind: 'granted',
      target,
      connection,
      mustSee,
      giveSlot () {
        if (!held) return
        held = false
        estimate.record(performance.now() - since)
        target.lane.giveSlot()
      },
    }
  }

  function tryGrant (request: StatementRequest, avoid: ReadonlySet<string>): Grant | undefined {
    if (!context.takesNew()) return undefined
    if (!isReadRequest(request)) {
      const primary = group.primary()
      return primary !== undefined && canWrite() ? grantOf(primary, request, null) : undefined
    }
    const need = needOf(request, avoid)
    const chosen = need === undefined ? undefined : chooseReadTarget(group.readCandidates(), need)
    const target = chosen === undefined ? undefined : group.get(chosen.instance)
    if (target === undefined || need === undefined || chosen === undefined) return undefined
    return grantOf(target, request, chosen.isPrimary ? null : need.required)
  }

  function canWrite (): boolean {
    return context.takesWrites() && group.isPrimaryUsable() && context.history.isFloorKnown()
  }

  /** Slots that could serve a request, free or not. */
  function servingSlots (request: StatementRequest, avoid: ReadonlySet<string>): number {
    if (!isReadRequest(request)) return canWrite() ? group.primary()?.lane.capacity() ?? 0 : 0
    const need = needOf(request, avoid)
    if (need === undefined) return 0
    return group.readCandidates()
      .filter((candidate) => canEverServe([candidate], need))
      .reduce((sum, { capacity }) => sum + capacity, 0)
  }

  function unserved (request: StatementRequest): StatementFailure {
    const reason = isReadRequest(request) ? 'no_fresh_target' : 'no_primary'
    return statementFailure('busy', reason, { retryAfterMs: Math.ceil(context.primaryExpectedMs() ?? NO_TARGET_RETRY_MS) })
  }

  /** Longest useful wait of a request, in ms, or why it is to be refused at once. */
  function waitFor (request: StatementRequest, avoid: ReadonlySet<string>, leftMs: number): number | StatementFailure {
    const slots = servingSlots(request, avoid)
    if (slots === 0) return waitForTarget(request, leftMs)
    const onTimeMs = lateIn(request)
    const expectedMs = expectedWait(request, slots, onTimeMs > 0)
    if (admitsWait({ leftMs, onTimeMs, expectedMs })) return leftMs * LONGEST_WAIT_PART
    return statementFailure('busy', 'overloaded', { retryAfterMs: Math.ceil(expectedMs) })
  }

  /** Late work goes last, so all that waits is before it. What needs the primary has its turn among all, then among its like. */
  function expectedWait (request: StatementRequest, slots: number, isOnTime: boolean): number {
    if (!isOnTime) return estimate.expectedWaitMs(queue.size() + 1, slots)
    const { all, needPrimary } = queue.ahead(request.priority, now())
    if (isReadRequest(request)) return estimate.expectedWaitMs(all + 1, slots)
    const allSlots = group.readCandidates().reduce((sum, { capacity }) => sum + capacity, 0)
    return Math.max(estimate.expectedWaitMs(all + 1, Math.max(slots, allSlots)), estimate.expectedWaitMs(needPrimary + 1, slots))
  }

  /** Time after which the answer to a request that begins is late, in ms. */
  function lateIn ({ aimMs, ageMs }: StatementRequest): number {
    return aimMs - ageMs - estimate.heldMs()
  }

  /** Without a target that can serve, only a wait whose end is expected well within the request's time is worth it. */
  function waitForTarget (request: StatementRequest, left: number): number | StatementFailure {
    if (context.isStarting()) return Math.min(left * LONGEST_WAIT_PART, STARTING_WAIT_MS)
    const expected = context.primaryExpectedMs()
    return expected !== undefined && expected < left * LONGEST_WAIT_PART ? left * LONGEST_REPLACEMENT_PART : unserved(request)
  }

  function dispatch (): void {
    queue.serve(now(), group.hasRoom)
  }

  type Place = Pick<WaitingWork, 'rank' | 'needsPrimary' | 'lateAt' | 'mayStart'>

  function enqueue (place: Place, waitMs: number, start: () => boolean, expire: () => void): void {
    const work: WaitingWork = {
      ...place,
      since: now(),
      expiresAt: now() + waitMs,
      start () {
        if (!start()) return false
        clearTimeout(timer)
        return true
      },
      expire () {
        clearTimeout(timer)
        expire()
      },
    }
    const timer = setTimeout(() => {
      queue.remove(work)
      expire()
    }, waitMs)
    queue.push(work)
  }

  function mayStart (request: StatementRequest): boolean {
    return isReadRequest(request) ? group.mayTake() : group.primary()?.lane.mayTake() === true
  }

  return {
    acquire (request, avoid, until) {
      const granted = tryGrant(request, avoid)
      if (granted !== undefined) return Promise.resolve(granted)
      const wait = waitFor(request, avoid, until - now())
      if (typeof wait !== 'number') return Promise.resolve(wait)
      return new Promise((resolve) => {
        const queuedAt = now()
        const place = {
          rank: request.priority,
          needsPrimary: !isReadRequest(request),
          lateAt: now() + lateIn(request),
          mayStart: () => mayStart(request),
        }
        const start = () => {
          const later = tryGrant(request, avoid)
          if (later === undefined) return false
          context.opts.metrics.latency('queue', now() - queuedAt)
          resolve(later)
          return true
        }
        enqueue(place, wait, start, () => resolve(servingSlots(request, avoid) === 0
          ? unserved(request)
          : statementFailure('busy', 'overloaded', { retryAfterMs: NO_TARGET_RETRY_MS })))
      })
    },
    acquireSlot (target, until) {
      if (target.lane.takeSlot()) return Promise.resolve(true)
      return new Promise((resolve) => {
        const place = { rank: TRANSACTION_RANK, needsPrimary: false, lateAt: Infinity, mayStart: target.lane.hasRoom }
        enqueue(place, Math.max(0, until - now()), () => {
          const taken = target.lane.takeSlot()
          if (taken) resolve(true)
          return taken
        }, () => resolve(false))
      })
    },
    dispatch,
    refuseAll () {
      for (const work of queue.takeAll()) work.expire()
    },
    heldMs: estimate.heldMs,
    waiting: () => queue.size(),
  }
}
