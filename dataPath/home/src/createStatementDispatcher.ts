import { type LogPosition, type StatementFailure, statementFailure, type StatementRequest } from '@briarpick/types'
import { canServe, chooseReadTarget, type FreshnessRequirement, type ReadCandidate } from './chooseReadTarget.js'
import { createConnectionOpener } from './createConnectionOpener.js'
import { createContentionRecorder, type SlotResult } from './createContentionRecorder.js'
import { createRequestQueue } from './createRequestQueue.js'
import { createSlotTiming } from './createSlotTiming.js'
import { createStatementAdmission } from './createStatementAdmission.js'
import { type PooledConnection } from './createStatementTargetPool.js'
import { type GroupTarget } from './createTargetGroup.js'
import { canWrite, freshnessRequirement, isReadRequest, type StatementHomeContext } from './statementHomeContext.js'
import { type PriorityWait } from './statementHomeTypes.js'
import { type FairWork } from './workList.js'

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

/** Options of the acquisition of a slot. */
export interface AcquireOptions {
  /** Instances on which the request has already failed. */
  readonly excluded: ReadonlySet<string>
  /** Time after which the response is useless, in ms. */
  readonly deadline: number
  /** Aborted when the caller has left; the request then gives up its place. */
  readonly signal?: AbortSignal | undefined
}

/** Options of the acquisition of a slot for a transaction's own connection. */
export interface AcquireSlotOptions {
  /** Time after which the response is useless, in ms. */
  readonly deadline: number
  /** True if the statement commits writes, and so waits for a replica. */
  readonly commitsWrites: boolean
}

/** Assigns slots to requests by priority. */
export interface StatementDispatcher {
  /** Resolves to a grant, or to a failure as soon as the request is rejected or has waited for its maximum time. */
  acquire: (request: StatementRequest, opts: AcquireOptions) => Promise<SlotGrant | StatementFailure>
  /**
   * Acquires a slot of a target for a statement on a transaction's own connection. Resolves to a function that releases it, or to
   * undefined if none is free by the deadline.
   */
  acquireSlot: (target: GroupTarget, request: StatementRequest, opts: AcquireSlotOptions) => Promise<(() => void) | undefined>
  /** Starts waiting requests that can start now. */
  dispatch: () => void
  /**
   * Does so once for all slots and connections that become free in this turn of the event loop, in deployments with teams: a pass
   * over the queue passes over the teams without a connection, and after a handover that is most of them.
   */
  dispatchSoon: () => void
  /** Rejects all waiting requests. */
  rejectAll: () => void
  /** Average time that a statement holds a slot, in ms. */
  meanServiceTimeMs: () => number
  /** Number of waiting requests. */
  waiting: () => number
  /** Expected waits of a team without waiting work, by priority; empty if nothing waits, or in a deployment without teams. */
  waits: () => readonly PriorityWait[]
}

/** Rank of statements inside transactions, ahead of all priorities: they already hold a connection. */
const TRANSACTION_RANK = -1
const NO_WAITS: readonly PriorityWait[] = []

/** Creates a dispatcher without waiting requests. */
export function createStatementDispatcher (context: StatementHomeContext): StatementDispatcher {
  const { group, now } = context
  const { metrics, limits } = context.opts
  const timing = createSlotTiming(context)
  const { costOf, startUse, hasUnreservedSlot, meanServiceTimeMs } = timing
  const queue = createRequestQueue({ isFair: () => limits().hasTeams, slots: totalSlots, meanServiceTimeMs })
  const opener = createConnectionOpener(context)
  const recorder = createContentionRecorder({ database: context.database, metrics })
  const admission = createStatementAdmission({ context, queue, timing, totalSlots, recorder })
  let dispatchTimer: NodeJS.Immediate | undefined

  function totalSlots (): number {
    let sum = 0
    for (const { pool } of group.all()) sum += pool.slots()
    return sum
  }

  function acquireFrom (target: GroupTarget, request: StatementRequest, mustSee: LogPosition | null): SlotGrant | undefined {
    const connection = target.pool.acquire(request.team, request.values)
    if (connection === undefined) return undefined
    return { kind: 'granted', target, connection, mustSee, releaseSlot: startSlotUse(target, request) }
  }

  /** Starts the use of a slot that was acquired; the result ends it, and further calls have no effect. */
  function startSlotUse (target: GroupTarget, request: StatementRequest): () => void {
    const endUse = startUse(target, request)
    let held = true
    return () => {
      if (!held) return
      held = false
      endUse()
      target.pool.releaseSlot()
    }
  }

  function tryGrant (request: StatementRequest, excluded: ReadonlySet<string>): SlotGrant | undefined {
    if (!context.accepts(request)) return undefined
    if (!isReadRequest(request)) {
      const primary = group.primary()
      if (primary === undefined || !canWrite(context) || !hasCommitRoom(request, primary)) return undefined
      return acquireFrom(primary, request, null)
    }
    const requirement = freshnessRequirement(context, request, excluded)
    if (requirement === undefined) return undefined
    const expectedWaitMs = () => admission.expectedWaitMs(request, excluded)
    const chosen = chooseReadTarget(readCandidates(request.team, requirement), { ...requirement, expectedWaitMs })
    const target = chosen === undefined ? undefined : group.get(chosen.instance)
    if (target === undefined || chosen === undefined) return undefined
    if (chosen.isPrimary && queue.size() === 0) opener.openOnReplica(request, excluded)
    // After the end of the lease, this home does not know whether that target still is the primary.
    return acquireFrom(target, request, chosen.isPrimary && context.isActive() ? null : requirement.required)
  }

  /** A write outside a transaction commits at once; one that begins a transaction does so only at its end. */
  function hasCommitRoom (request: StatementRequest, { pool }: GroupTarget): boolean {
    return request.transaction !== null || context.writes.hasCommitRoom(pool.slots())
  }

  /** Targets that may serve a read; without the primary if its free slots are reserved and a replica can serve it too. */
  function readCandidates (team: string | null, requirement: FreshnessRequirement): readonly ReadCandidate[] {
    const candidates = group.readCandidates(team)
    if (!limits().hasTeams) return candidates
    const primary = candidates.find(({ isPrimary }) => isPrimary)
    if (primary === undefined || hasUnreservedSlot(primary)) return candidates
    const replicas = candidates.filter(({ isPrimary }) => !isPrimary)
    return canServe(replicas, requirement) ? replicas : candidates
  }

  function record (result: SlotResult, request: StatementRequest): void {
    if (limits().hasTeams) recorder.record(result, request, queue.isLoud(request.priority, request.team))
  }

  function dispatch (): void {
    queue.serve(now(), group.canAcquireSlot)
    opener.openNoted()
  }

  function runScheduledDispatch (): void {
    dispatchTimer = undefined
    dispatch()
  }

  type QueueEntry = Omit<FairWork, 'queuedAt' | 'expiresAt' | 'start' | 'expire'>

  /** Queues work for a limited time; the result removes it without a call of `expire`. */
  function enqueue (entry: QueueEntry, waitMs: number, start: () => boolean, expire: () => void): () => void {
    const work: FairWork = {
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
    return () => {
      clearTimeout(timer)
      queue.remove(work)
    }
  }

  /** Entry of a request that may start on any target that can serve it. */
  function requestEntry (request: StatementRequest, excluded: ReadonlySet<string>): QueueEntry {
    const needsPrimary = admission.needsPrimary(request, excluded)
    return {
      rank: request.priority,
      team: request.team,
      costMs: costOf(request),
      needsPrimary,
      lane: needsPrimary ? 'primary' : 'read',
      lateAt: now() + admission.slackOf(request),
      hasSlot: needsPrimary ? () => group.primary()?.pool.canAcquireSlot() === true : hasReadSlot,
      canStart () {
        const { team } = request
        if (needsPrimary ? group.primary()?.pool.canAcquire(team) === true : group.canAcquire(team)) return true
        opener.note(request, excluded)
        return false
      },
    }
  }

  /** True if a replica has a free slot, or the primary one that is not reserved. */
  function hasReadSlot (): boolean {
    const primary = group.primary()
    for (const target of group.all()) {
      const { pool } = target
      if (pool.canAcquireSlot() && (target !== primary || hasUnreservedSlot({ active: pool.active(), slots: pool.slots() }))) return true
    }
    return false
  }

  async function waitForGrant (request: StatementRequest, opts: AcquireOptions, waitMs: number): Promise<SlotGrant | StatementFailure> {
    const { excluded, deadline, signal } = opts
    return await new Promise((resolve) => {
      const queuedAt = now()
      const slackMs = admission.slackOf(request)
      const settle = (result: SlotGrant | StatementFailure) => {
        signal?.removeEventListener('abort', leave)
        resolve(result)
      }
      const start = () => {
        const grant = tryGrant(request, excluded)
        if (grant === undefined) {
          opener.note(request, excluded)
          return false
        }
        const waitedMs = now() - queuedAt
        metrics.latency('queue', waitedMs)
        record(waitedMs < slackMs ? 'served' : 'late', request)
        settle(grant)
        return true
      }
      const expire = () => settle(admission.expiredFailure(request, excluded, Math.max(0, deadline - now())))
      const remove = enqueue(requestEntry(request, excluded), waitMs, start, expire)
      function leave (): void {
        remove()
        record('left', request)
        settle(callerLeft())
      }
      signal?.addEventListener('abort', leave, { once: true })
      // The request may lack only a connection of its team.
      opener.note(request, excluded)
      opener.openNoted()
    })
  }

  function slotEntry ({ member }: GroupTarget, request: StatementRequest, lane: string, canTakeSlot: () => boolean): QueueEntry {
    return {
      rank: TRANSACTION_RANK,
      team: request.team,
      costMs: costOf(request),
      needsPrimary: false,
      lane: `${lane} of ${member.instance}`,
      lateAt: Infinity,
      hasSlot: canTakeSlot,
      canStart: canTakeSlot,
    }
  }

  return {
    async acquire (request, opts) {
      if (opts.signal?.aborted === true) return callerLeft()
      const granted = tryGrant(request, opts.excluded)
      if (granted !== undefined) {
        record(admission.slackOf(request) > 0 ? 'served' : 'late', request)
        queue.charge({ rank: request.priority, team: request.team, costMs: costOf(request) })
        return granted
      }
      const waitMs = admission.admit(request, opts.excluded, opts.deadline - now())
      return typeof waitMs === 'number' ? await waitForGrant(request, opts, waitMs) : waitMs
    },
    acquireSlot (target, request, { deadline, commitsWrites }) {
      const { pool } = target
      const canTakeSlot = () => pool.canAcquireSlot() && (!commitsWrites || context.writes.hasCommitRoom(pool.slots()))
      const takeSlot = () => canTakeSlot() && pool.acquireSlot() ? startSlotUse(target, request) : undefined
      const release = takeSlot()
      if (release !== undefined) return Promise.resolve(release)
      return new Promise((resolve) => {
        const start = () => {
          const granted = takeSlot()
          if (granted !== undefined) resolve(granted)
          return granted !== undefined
        }
        const entry = slotEntry(target, request, commitsWrites ? 'commit' : 'slot', canTakeSlot)
        enqueue(entry, Math.max(0, deadline - now()), start, () => resolve(undefined))
      })
    },
    dispatch,
    dispatchSoon () {
      if (!limits().hasTeams) dispatch()
      else dispatchTimer ??= setImmediate(runScheduledDispatch)
    },
    rejectAll () {
      for (const work of queue.takeAll()) work.expire()
    },
    meanServiceTimeMs,
    waiting: () => queue.size(),
    waits: () => limits().hasTeams && queue.size() > 0 ? admission.waits() : NO_WAITS,
  }
}

function callerLeft (): StatementFailure {
  return statementFailure('aborted', 'caller_left')
}
