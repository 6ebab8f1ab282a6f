import { type StatementFailure, statementFailure, type StatementRequest } from '@briarpick/types'
import { createWaitEstimate } from '@briarpick/admission'
import { shouldAdmit } from './shouldAdmit.js'
import { canServe, chooseReadTarget, type FreshnessRequirement } from './chooseReadTarget.js'
import { type PooledConnection } from './createStatementTargetPool.js'
import { type GroupTarget } from './createTargetGroup.js'
import { type ConnectionNeed, selectUnserved } from './selectUnserved.js'
import { createWorkQueue, type QueuedWork } from './createWorkQueue.js'
import { INITIAL_SERVICE_TIME_MS, isReadRequest, requiredPosition, type StatementHomeContext } from './statementHomeContext.js'
import { type LogPosition } from '@briarpick/types'

/** Slot and connection of a target, acquired for one request. */
export interface SlotGrant {
  readonly kind: 'granted'
  readonly target: GroupTarget
  readonly connection: PooledConnection
  /** Position that the target must have applied before it runs the statement; null on the primary, which has every write. */
  readonly mustSee: LogPosition | null
  /** Releases the slot; further calls have no effect. */
  readonly releaseSlot: () => void
}

/** Assigns slots to requests by priority. */
export interface StatementDispatcher {
  /** Resolves to a grant, or to a failure as soon as the request is rejected or has waited for its maximum time. */
  acquire: (request: StatementRequest, excluded: ReadonlySet<string>, deadline: number) => Promise<SlotGrant | StatementFailure>
  /** Acquires a slot of a target for a transaction's own connection; resolves to false if none is free by the deadline. */
  acquireSlot: (target: GroupTarget, deadline: number) => Promise<boolean>
  /** Starts waiting requests that can start now. */
  dispatch: () => void
  /** Rejects all waiting requests. */
  rejectAll: () => void
  /** Average time that a statement holds a slot, in ms. */
  meanServiceTimeMs: () => number
  /** Number of waiting requests. */
  waiting: () => number
}

/** Rank of statements inside transactions, ahead of all priorities: they already hold a connection. */
const TRANSACTION_RANK = -1
/** Longest wait of an admitted request, as a fraction of its remaining time. */
const MAX_WAIT_FRACTION = 0.6
/** Longest wait for a new primary, as a fraction of the remaining time of a request. */
const MAX_FAILOVER_WAIT_FRACTION = 0.85
/** Retry delay suggested to callers while no target can serve, in ms: about the duration of a failover. */
const NO_TARGET_RETRY_AFTER_MS = 500
/** Longest wait of a request while the state of the targets is still being discovered, in ms. */
const STARTUP_MAX_WAIT_MS = 400
/** Most waiting requests for which one pass over the queue opens connections: as many as targets can usually start at once. */
const MAX_LACKING = 16

interface WaitingRequest extends ConnectionNeed {
  readonly request: StatementRequest
  readonly excluded: ReadonlySet<string>
}

/** Creates a dispatcher without waiting requests. */
export function createStatementDispatcher (context: StatementHomeContext): StatementDispatcher {
  const { group, now } = context
  const queue = createWorkQueue()
  const estimate = createWaitEstimate(INITIAL_SERVICE_TIME_MS)
  /** Requests that the current pass over the queue could not start. */
  const lacking: WaitingRequest[] = []

  function requirementOf (request: StatementRequest, excluded: ReadonlySet<string>): FreshnessRequirement | undefined {
    const required = requiredPosition(context, request.freshness)
    if (required === undefined) return undefined
    return { required, requiredAgeMs: context.history.ageOf(required, now()), excluded }
  }

  function acquireFrom (target: GroupTarget, request: StatementRequest, mustSee: LogPosition | null): SlotGrant | undefined {
    const connection = target.pool.acquire(request.team, request.values)
    if (connection === undefined) return undefined
    const acquiredAt = performance.now()
    let held = true
    return {
      kind: 'granted',
      target,
      connection,
      mustSee,
      releaseSlot () {
        if (!held) return
        held = false
        estimate.record(performance.now() - acquiredAt)
        target.pool.releaseSlot()
      },
    }
  }

  function tryGrant (request: StatementRequest, excluded: ReadonlySet<string>): SlotGrant | undefined {
    if (!context.acceptsRequests()) return undefined
    if (!isReadRequest(request)) {
      const primary = group.primary()
      return primary !== undefined && canWrite() ? acquireFrom(primary, request, null) : undefined
    }
    const requirement = requirementOf(request, excluded)
    const chosen = requirement === undefined ? undefined : chooseReadTarget(group.readCandidates(request.team), requirement)
    const target = chosen === undefined ? undefined : group.get(chosen.instance)
    if (target === undefined || requirement === undefined || chosen === undefined) return undefined
    if (chosen.isPrimary) openOnReplica(request, excluded)
    return acquireFrom(target, request, chosen.isPrimary ? null : requirement.required)
  }

  function canWrite (): boolean {
    return context.acceptsWrites() && group.isPrimaryUsable() && context.history.isFloorKnown()
  }

  /** Maximum number of statements in flight on the targets that can serve a request; 0 if no target can serve it. */
  function servingSlots (request: StatementRequest, excluded: ReadonlySet<string>): number {
    if (!isReadRequest(request)) return canWrite() ? group.primary()?.pool.capacity() ?? 0 : 0
    const requirement = requirementOf(request, excluded)
    if (requirement === undefined) return 0
    return group.readCandidates(request.team)
      .filter((candidate) => canServe([candidate], requirement))
      .reduce((sum, { capacity }) => sum + capacity, 0)
  }

  function noTargetFailure (request: StatementRequest): StatementFailure {
    const reason = isReadRequest(request) ? 'no_fresh_target' : 'no_primary'
    return statementFailure('busy', reason, { retryAfterMs: Math.ceil(context.successorExpectedMs() ?? NO_TARGET_RETRY_AFTER_MS) })
  }

  /** Longest time to queue a request, in ms, or the failure with which it is rejected at once. */
  function admit (request: StatementRequest, excluded: ReadonlySet<string>, remainingMs: number): number | StatementFailure {
    const slots = servingSlots(request, excluded)
    if (slots === 0) return admitWithoutTarget(request, remainingMs)
    const slackMs = slackOf(request)
    const expectedWaitMs = expectedWait(request, slots, slackMs > 0)
    if (shouldAdmit({ remainingMs, slackMs, expectedWaitMs })) return remainingMs * MAX_WAIT_FRACTION
    return statementFailure('busy', 'overloaded', { retryAfterMs: Math.ceil(expectedWaitMs) })
  }

  /**
   * Expected wait in the queue, in ms. Late work goes last, behind everything that waits. A request that needs the primary waits
   * for its turn among all requests and among those that need the primary; the longer wait counts.
   */
  function expectedWait (request: StatementRequest, slots: number, canBeOnTime: boolean): number {
    if (!canBeOnTime) return estimate.expectedWaitMs(queue.size() + 1, slots)
    const { all, needPrimary } = queue.ahead(request.priority, now())
    if (isReadRequest(request)) return estimate.expectedWaitMs(all + 1, slots)
    const allSlots = group.readCandidates(request.team).reduce((sum, { capacity }) => sum + capacity, 0)
    return Math.max(estimate.expectedWaitMs(all + 1, Math.max(slots, allSlots)), estimate.expectedWaitMs(needPrimary + 1, slots))
  }

  /** Time within which a request must start to meet its latency target, in ms; 0 or less if it will miss that. */
  function slackOf ({ aimMs, ageMs }: StatementRequest): number {
    return aimMs - ageMs - estimate.meanServiceTimeMs()
  }

  /** While no target can serve, a request waits only during the startup, or if a new primary is expected well before its deadline. */
  function admitWithoutTarget (request: StatementRequest, remainingMs: number): number | StatementFailure {
    if (context.isStarting()) return Math.min(remainingMs * MAX_WAIT_FRACTION, STARTUP_MAX_WAIT_MS)
    const expectedMs = context.successorExpectedMs()
    return expectedMs !== undefined && expectedMs < remainingMs * MAX_WAIT_FRACTION
      ? remainingMs * MAX_FAILOVER_WAIT_FRACTION
      : noTargetFailure(request)
  }

  function dispatch (): void {
    queue.serve(now(), group.canAcquireSlot)
    if (lacking.length > 0) openConnections(lacking.splice(0))
  }

  function openConnections (wanted: readonly WaitingRequest[]): void {
    for (const { request, excluded } of selectUnserved(wanted, openingFor)) targetToConnect(request, excluded)?.pool.open(request.team)
  }

  function openingFor ({ team, needsPrimary }: ConnectionNeed): number {
    return needsPrimary ? group.primary()?.pool.opening(team) ?? 0 : group.opening(team)
  }

  /** The target on which a request would run if its team had a connection; undefined if it cannot start for another reason. */
  function targetToConnect (request: StatementRequest, excluded: ReadonlySet<string>): GroupTarget | undefined {
    const { team } = request
    if (!context.acceptsRequests()) return undefined
    if (!isReadRequest(request)) {
      const primary = group.primary()
      return primary !== undefined && canWrite() ? primary : undefined
    }
    const requirement = requirementOf(request, excluded)
    if (requirement === undefined) return undefined
    const candidates = group.readCandidates(team).flatMap((candidate) => {
      const pool = group.get(candidate.instance)?.pool
      return pool?.canOpen(team) === true ? [{ ...candidate, isFree: pool.hasFreeSlot(), canAcquire: true }] : []
    })
    const chosen = chooseReadTarget(candidates, requirement)
    return chosen === undefined ? undefined : group.get(chosen.instance)
  }

  /** Notes a request that could not start; what it lacks is opened at the end of the pass over the queue. */
  function noteWaiting (request: StatementRequest, excluded: ReadonlySet<string>): void {
    if (!context.opts.limits().hasTeams || lacking.length >= MAX_LACKING || !group.canOpen()) return
    lacking.push({ request, excluded, team: request.team, needsPrimary: !isReadRequest(request) })
  }

  /**
   * Opens a connection on a replica for a read that runs on the primary only because no replica has a connection of its team. Not
   * while requests wait: their connections go first.
   */
  function openOnReplica (request: StatementRequest, excluded: ReadonlySet<string>): void {
    if (!context.opts.limits().hasTeams || queue.size() > 0 || group.opening(request.team) > 0 || !group.canOpen()) return
    const target = targetToConnect(request, excluded)
    if (target !== undefined && target !== group.primary()) target.pool.open(request.team)
  }

  type QueueEntry = Pick<QueuedWork, 'rank' | 'needsPrimary' | 'lateAt' | 'canStart'>

  function enqueue (entry: QueueEntry, waitMs: number, start: () => boolean, expire: () => void): void {
    const work: QueuedWork = {
      ...entry,
      queuedAt: now(),
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

  function canStart (request: StatementRequest): boolean {
    return isReadRequest(request) ? group.canAcquire(request.team) : group.primary()?.pool.canAcquire(request.team) === true
  }

  return {
    acquire (request, excluded, deadline) {
      const granted = tryGrant(request, excluded)
      if (granted !== undefined) return Promise.resolve(granted)
      const waitMs = admit(request, excluded, deadline - now())
      if (typeof waitMs !== 'number') return Promise.resolve(waitMs)
      return new Promise((resolve) => {
        const queuedAt = now()
        const entry = {
          rank: request.priority,
          needsPrimary: !isReadRequest(request),
          lateAt: now() + slackOf(request),
          canStart () {
            if (canStart(request)) return true
            noteWaiting(request, excluded)
            return false
          },
        }
        const start = () => {
          const grant = tryGrant(request, excluded)
          if (grant === undefined) {
            noteWaiting(request, excluded)
            return false
          }
          context.opts.metrics.latency('queue', now() - queuedAt)
          resolve(grant)
          return true
        }
        enqueue(entry, waitMs, start, () => resolve(servingSlots(request, excluded) === 0
          ? noTargetFailure(request)
          : statementFailure('busy', 'overloaded', { retryAfterMs: NO_TARGET_RETRY_AFTER_MS })))
        if (context.opts.limits().hasTeams) dispatch()
      })
    },
    acquireSlot (target, deadline) {
      if (target.pool.acquireSlot()) return Promise.resolve(true)
      return new Promise((resolve) => {
        const entry = { rank: TRANSACTION_RANK, needsPrimary: false, lateAt: Infinity, canStart: target.pool.canAcquireSlot }
        enqueue(entry, Math.max(0, deadline - now()), () => {
          const taken = target.pool.acquireSlot()
          if (taken) resolve(true)
          return taken
        }, () => resolve(false))
      })
    },
    dispatch,
    rejectAll () {
      for (const work of queue.takeAll()) work.expire()
    },
    meanServiceTimeMs: estimate.meanServiceTimeMs,
    waiting: () => queue.size(),
  }
}
