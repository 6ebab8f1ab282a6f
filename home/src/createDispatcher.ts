import { type LogPosition } from '@briarpick/types'
import { type BriarpickError } from '@briarpick/error'
import { createFairQueue, createWaitEstimate } from '@briarpick/admission'
import { type RouteCandidate, routeRead } from '@briarpick/routing'
import { type TargetConnection } from '@briarpick/pg-target'
import { type ServicePolicy } from '@briarpick/bundle'
import { type Target, type TargetSet } from './createTargetSet.js'
import { noPrimary, notDurable, noTarget, overloaded } from './refusals.js'

/** A target's slot and connection, granted to one request. */
export interface Grant {
  readonly target: Target
  readonly connection: TargetConnection
  readonly isPrimary: boolean
  /** Gives the slot back, and the connection unless it is kept for a transaction. */
  done: (keepConnection: boolean) => void
}

/** What a request asks of the dispatcher. */
export interface DispatchRequest {
  readonly caller: string
  readonly access: 'read' | 'write'
  /** Position that a read must see; asked again while it waits. */
  readonly watermark: () => LogPosition
  readonly maxAgeMs?: number
  /** End of the time that the request may take, in ms on the monotonic clock. */
  readonly deadline: number
}

/** Hands slots to waiting requests, fair between callers. */
export interface Dispatcher {
  /** Resolves with a grant, or rejects at once or at the deadline with a refusal. */
  request: (request: DispatchRequest) => Promise<Grant>
  /** Looks again at who can be served; called when something changed. */
  dispatch: () => void
  /** Refuses all that wait. */
  refuseAll: (err: BriarpickError) => void
  waiting: () => number
}

/** Options of a dispatcher. */
export interface DispatcherOptions {
  readonly database: string
  readonly targets: TargetSet
  readonly policy: () => ServicePolicy
  readonly ageOf: (position: LogPosition) => number
  /** True while a write could be made durable. */
  readonly mayWrite: () => boolean
}

interface Waiting {
  readonly request: DispatchRequest
  readonly since: number
  readonly resolve: (grant: Grant) => void
  readonly reject: (err: BriarpickError) => void
  timer?: NodeJS.Timeout
  retryTimer?: NodeJS.Timeout
}

/** Part of the time left that a request may be expected to wait; the rest is for its work and for errors of the estimate. */
const ADMITTED_PART = 0.5

/** Creates a dispatcher without waiting requests. */
export function createDispatcher (opts: DispatcherOptions): Dispatcher {
  const { targets, database } = opts
  const queue = createFairQueue<Waiting>()
  const estimate = createWaitEstimate()
  let dispatching = false

  function grant (target: Target, isPrimary: boolean): Grant | undefined {
    const connection = target.pool.acquire()
    if (connection === undefined) return undefined
    const since = performance.now()
    let held = true
    return {
      target,
      connection,
      isPrimary,
      done (keepConnection) {
        if (!held) return
        held = false
        estimate.record(performance.now() - since)
        if (!keepConnection) target.pool.release(connection)
        target.pool.releaseSlot()
      },
    }
  }

  function tryServe (waiting: Waiting, candidates: readonly RouteCandidate[]): Grant | undefined {
    const { request, since } = waiting
    if (request.access === 'write') return tryPrimary(candidates)
    const route = routeRead(candidates, {
      watermark: request.watermark(),
      maxAgeMs: request.maxAgeMs,
      waitedMs: performance.now() - since,
    }, { replicaWaitMs: opts.policy().replica_wait, ageOf: opts.ageOf })
    if (route.kind === 'wait') {
      if (route.forWhat === 'position') targets.hurry()
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

  /** When the queue is full, the newest request of the caller with the most gives way to one of a caller with fewer. */
  function makeRoom (caller: string): boolean {
    if (queue.size() < opts.policy().queue) return true
    const evicted = queue.evictLargest(queue.sizeOf(caller) + 1)
    if (evicted === undefined) return false
    settle(evicted)
    evicted.reject(overloaded(database, expectedMs(evicted.request)))
    return true
  }

  function settle (waiting: Waiting): void {
    clearTimeout(waiting.timer)
    clearTimeout(waiting.retryTimer)
  }

  /** Stops as soon as no slot is free, so that its cost does not grow with the queue. */
  function dispatch (): void {
    if (dispatching || queue.size() === 0) return
    dispatching = true
    let candidates = targets.candidates()
    queue.visit((waiting) => {
      if (!candidates.some(({ usable, hasFreeSlot }) => usable && hasFreeSlot)) return 'stop'
      if (waiting.request.deadline - performance.now() < estimate.heldMs()) {
        settle(waiting)
        waiting.reject(refusalFor(waiting.request))
        return 'take'
      }
      const granted = tryServe(waiting, candidates)
      if (granted === undefined) return 'leave'
      settle(waiting)
      waiting.resolve(granted)
      candidates = targets.candidates()
      return 'take'
    })
    dispatching = false
  }

  function expire (waiting: Waiting): void {
    if (!queue.remove(waiting.request.caller, waiting)) return
    settle(waiting)
    waiting.reject(refusalFor(waiting.request))
  }

  function refusalFor (request: DispatchRequest): BriarpickError {
    const candidates = targets.candidates()
    const primaryUsable = candidates.some((candidate) => candidate.isPrimary && candidate.usable)
    if (primaryUsable && request.access === 'write' && !opts.mayWrite()) return notDurable(database)
    if (primaryUsable) return overloaded(database, expectedMs(request))
    return request.access === 'write' ? noPrimary(database) : noTarget(database)
  }

  /** Callers take turns, so a request waits behind its own caller's requests and as many of each other caller. */
  function ahead (caller: string): number {
    const own = queue.sizeOf(caller)
    const others = queue.callers() - Math.sign(own)
    return Math.min(queue.size(), own + others * (own + 1))
  }

  function expectedMs (request: DispatchRequest): number {
    const serving = targets.candidates().filter((candidate) => candidate.usable && (request.access === 'read' || candidate.isPrimary))
    return estimate.expectedWaitMs(ahead(request.caller) + 1, serving.length * opts.policy().slots)
  }

  return {
    request (request) {
      return new Promise((resolve, reject) => {
        const now = performance.now()
        const waiting: Waiting = { request, since: now, resolve, reject }
        if (queue.sizeOf(request.caller) === 0) {
          const granted = tryServe(waiting, targets.candidates())
          if (granted !== undefined) {
            resolve(granted)
            return
          }
        }
        const left = request.deadline - now
        const expected = expectedMs(request)
        if (expected > left * ADMITTED_PART || !makeRoom(request.caller)) {
          reject(overloaded(database, expected))
          return
        }
        queue.push(request.caller, waiting)
        waiting.timer = setTimeout(() => expire(waiting), left)
        if (request.access === 'read') waiting.retryTimer = setTimeout(dispatch, opts.policy().replica_wait)
      })
    },
    dispatch,
    refuseAll (err) {
      queue.visit((waiting) => {
        settle(waiting)
        waiting.reject(err)
        return 'take'
      })
    },
    waiting: () => queue.size(),
  }
}
