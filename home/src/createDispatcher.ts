import { type LogPosition } from '@briarpick/types'
import { type BriarpickError } from '@briarpick/error'
import { createFairQueue, createWaitEstimate } from '@briarpick/admission'
import { type RouteCandidate, routeRead } from '@briarpick/routing'
import { type TargetConnection } from '@briarpick/pg-target'
import { type ServicePolicy } from '@briarpick/bundle'
import { type Target, type TargetSet } from './createTargetSet.js'
import { noFreshTarget, noPrimary, notDurable, overloaded } from './homeErrors.js'

/** A slot and a connection of a target, granted to one request. */
export interface Grant {
  readonly target: Target
  readonly connection: TargetConnection
  readonly isPrimary: boolean
  /** Releases the slot, and the connection too unless it is kept for an open transaction. */
  release: (keepConnection: boolean) => void
}

/** A request for a slot on a target. */
export interface DispatchRequest {
  readonly caller: string
  readonly access: 'read' | 'write'
  /** Position that a read must see; re-evaluated while the read is queued. */
  readonly watermark: () => LogPosition
  readonly maxAgeMs?: number
  /** Deadline of the request, in ms on the monotonic clock. */
  readonly deadline: number
}

/** Grants slots to queued requests, round-robin by caller. */
export interface Dispatcher {
  /**
   * Resolves with a grant; rejects at once if overloaded, or at the deadline, with an error that says that nothing was
   * executed.
   */
  request: (request: DispatchRequest) => Promise<Grant>
  /** Grants slots to the queued requests that can be served now; called when a slot, a position or the view changed. */
  dispatch: () => void
  /** Rejects all queued requests. */
  rejectAll: (err: BriarpickError) => void
  waiting: () => number
}

/** Options of a dispatcher. */
export interface DispatcherOptions {
  readonly database: string
  readonly targets: TargetSet
  readonly policy: () => ServicePolicy
  readonly ageOf: (position: LogPosition) => number
  /** True while enough replicas are available to make a write durable. */
  readonly mayWrite: () => boolean
}

interface QueuedRequest {
  readonly request: DispatchRequest
  readonly queuedAt: number
  readonly resolve: (grant: Grant) => void
  readonly reject: (err: BriarpickError) => void
  timer?: NodeJS.Timeout
  retryTimer?: NodeJS.Timeout
}

/**
 * Admission limit: fraction of the remaining time that the estimated wait may take. The rest covers the service time and
 * estimation errors.
 */
const MAX_WAIT_FRACTION = 0.5

/** Creates a dispatcher with an empty queue. */
export function createDispatcher (opts: DispatcherOptions): Dispatcher {
  const { targets, database } = opts
  const queue = createFairQueue<QueuedRequest>()
  const estimate = createWaitEstimate()
  let dispatching = false

  function grant (target: Target, isPrimary: boolean): Grant | undefined {
    const connection = target.pool.acquire()
    if (connection === undefined) return undefined
    const grantedAt = performance.now()
    let held = true
    return {
      target,
      connection,
      isPrimary,
      release (keepConnection) {
        if (!held) return
        held = false
        estimate.record(performance.now() - grantedAt)
        if (!keepConnection) target.pool.release(connection)
        target.pool.releaseSlot()
      },
    }
  }

  function tryGrant (queued: QueuedRequest, candidates: readonly RouteCandidate[]): Grant | undefined {
    const { request, queuedAt } = queued
    if (request.access === 'write') return tryPrimary(candidates)
    const route = routeRead(candidates, {
      watermark: request.watermark(),
      maxAgeMs: request.maxAgeMs,
      waitedMs: performance.now() - queuedAt,
    }, { replicaWaitMs: opts.policy().replica_wait, ageOf: opts.ageOf })
    if (route.kind === 'wait') {
      if (route.waitFor === 'position') targets.pollFast()
      return undefined
    }
    const target = targets.get(route.instance)
    return target === undefined ? undefined : grant(target, target === targets.primary())
  }

  function tryPrimary (candidates: readonly RouteCandidate[]): Grant | undefined {
    const primary = candidates.find((candidate) => candidate.isPrimary)
    if (primary === undefined || !primary.usable || !primary.hasFreeSlot || !opts.mayWrite()) return undefined
    const target = targets.get(primary.instance)
    return target === undefined ? undefined : grant(target, true)
  }

  /** When the queue is full, sheds the newest request of the caller with the most queued requests, if the new caller has fewer. */
  function ensureCapacity (caller: string): boolean {
    if (queue.size() < opts.policy().queue) return true
    const evicted = queue.evictLargest(queue.sizeOf(caller) + 1)
    if (evicted === undefined) return false
    clearTimers(evicted)
    evicted.reject(overloaded(database, expectedWaitMs(evicted.request)))
    return true
  }

  function clearTimers (queued: QueuedRequest): void {
    clearTimeout(queued.timer)
    clearTimeout(queued.retryTimer)
  }

  /** Stops as soon as no slot is free, so that its cost does not grow with the queue length. */
  function dispatch (): void {
    if (dispatching || queue.size() === 0) return
    dispatching = true
    let candidates = targets.candidates()
    queue.visit((queued) => {
      if (!candidates.some(({ usable, hasFreeSlot }) => usable && hasFreeSlot)) return 'stop'
      if (queued.request.deadline - performance.now() < estimate.meanServiceTimeMs()) {
        clearTimers(queued)
        queued.reject(rejectionFor(queued.request))
        return 'take'
      }
      const granted = tryGrant(queued, candidates)
      if (granted === undefined) return 'leave'
      clearTimers(queued)
      queued.resolve(granted)
      candidates = targets.candidates()
      return 'take'
    })
    dispatching = false
  }

  function expire (queued: QueuedRequest): void {
    if (!queue.remove(queued.request.caller, queued)) return
    clearTimers(queued)
    queued.reject(rejectionFor(queued.request))
  }

  function rejectionFor (request: DispatchRequest): BriarpickError {
    const candidates = targets.candidates()
    const primaryUsable = candidates.some((candidate) => candidate.isPrimary && candidate.usable)
    if (primaryUsable && request.access === 'write' && !opts.mayWrite()) return notDurable(database)
    if (primaryUsable) return overloaded(database, expectedWaitMs(request))
    return request.access === 'write' ? noPrimary(database) : noFreshTarget(database)
  }

  /**
   * Estimates the queue position under round-robin: the `own` requests of the caller and up to `own + 1` of each other
   * caller are ahead.
   */
  function requestsAhead (caller: string): number {
    const own = queue.sizeOf(caller)
    const others = queue.callers() - Math.sign(own)
    return Math.min(queue.size(), own + others * (own + 1))
  }

  function expectedWaitMs (request: DispatchRequest): number {
    const serving = targets.candidates().filter((candidate) => candidate.usable && (request.access === 'read' || candidate.isPrimary))
    return estimate.expectedWaitMs(requestsAhead(request.caller) + 1, serving.length * opts.policy().slots)
  }

  return {
    request (request) {
      return new Promise((resolve, reject) => {
        const now = performance.now()
        const queued: QueuedRequest = { request, queuedAt: now, resolve, reject }
        if (queue.sizeOf(request.caller) === 0) {
          const granted = tryGrant(queued, targets.candidates())
          if (granted !== undefined) {
            resolve(granted)
            return
          }
        }
        const remainingMs = request.deadline - now
        const waitMs = expectedWaitMs(request)
        if (waitMs > remainingMs * MAX_WAIT_FRACTION || !ensureCapacity(request.caller)) {
          reject(overloaded(database, waitMs))
          return
        }
        queue.push(request.caller, queued)
        queued.timer = setTimeout(() => expire(queued), remainingMs)
        if (request.access === 'read') queued.retryTimer = setTimeout(dispatch, opts.policy().replica_wait)
      })
    },
    dispatch,
    rejectAll (err) {
      queue.visit((queued) => {
        clearTimers(queued)
        queued.reject(err)
        return 'take'
      })
    },
    waiting: () => queue.size(),
  }
}
