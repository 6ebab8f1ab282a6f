import { type StatementFailure, statementFailure, type StatementRequest } from '@briarpick/types'
import { createReturnSchedule } from '@briarpick/admission'
import { canServe } from './chooseReadTarget.js'
import { type ContentionRecorder, type SlotResult } from './createContentionRecorder.js'
import { type RequestQueue } from './createRequestQueue.js'
import { type SlotTiming } from './createSlotTiming.js'
import { canWrite, freshnessRequirement, isReadRequest, type StatementHomeContext } from './statementHomeContext.js'
import { type PriorityWait } from './statementHomeTypes.js'
import { type AdmissionInput, maxAdmittedWaitMs, shouldAdmit } from './shouldAdmit.js'

/** Decides whether a request may wait for a slot, and when a refused caller may return. */
export interface StatementAdmission {
  /** Longest time to queue a request, in ms, or the failure with which it is rejected at once. */
  admit: (request: StatementRequest, excluded: ReadonlySet<string>, remainingMs: number) => number | StatementFailure
  /** Failure of a request that has waited for its longest time. */
  expiredFailure: (request: StatementRequest, excluded: ReadonlySet<string>, remainingMs: number) => StatementFailure
  /** Time within which a request must start to meet its latency target, in ms; 0 or less if it will miss that. */
  slackOf: (request: StatementRequest) => number
  /** True if only the primary can run it: a write or, in a deployment with teams, also a read that no replica can serve now. */
  needsPrimary: (request: StatementRequest, excluded: ReadonlySet<string>) => boolean
  /** Time for which a read would wait for a slot if it started nowhere now, in ms. */
  expectedWaitMs: (request: StatementRequest, excluded: ReadonlySet<string>) => number
  /** Expected waits of a team without waiting work, by priority of what waits. */
  waits: () => readonly PriorityWait[]
}

/** Dependencies of the admission. */
export interface StatementAdmissionOptions {
  readonly context: StatementHomeContext
  readonly queue: RequestQueue
  readonly timing: SlotTiming
  readonly totalSlots: () => number
  readonly recorder: ContentionRecorder
}

/** What is known of a request that cannot start at once; times in ms. */
interface Assessment extends AdmissionInput {
  /** Maximum number of statements in flight on the targets that can serve it; 0 if none can. */
  readonly slots: number
}

/** Longest wait of an admitted request, as a fraction of its remaining time. */
const MAX_WAIT_FRACTION = 0.6
/** Longest wait for a new primary, as a fraction of the remaining time of a request. */
const MAX_FAILOVER_WAIT_FRACTION = 0.85
/** Retry delay suggested to callers while no target can serve, in ms: about the duration of a failover. */
const NO_TARGET_RETRY_AFTER_MS = 500
/** Longest wait of a request while the state of the targets is still being discovered, in ms. */
const STARTUP_MAX_WAIT_MS = 400

/** Stands for a team without work; no team has this name. */
const NEW_TEAM = ''

/** Creates the admission of a home. */
export function createStatementAdmission ({ context, queue, timing, totalSlots, recorder }: StatementAdmissionOptions): StatementAdmission {
  const { group, now } = context
  const hasTeams = () => context.opts.limits().hasTeams
  const returns = createReturnSchedule({ slots: totalSlots })

  /** Maximum number of statements in flight on the targets that can serve a request; 0 if no target can serve it. */
  function servingSlots (request: StatementRequest, excluded: ReadonlySet<string>): number {
    if (!isReadRequest(request)) return canWrite(context) ? group.primary()?.pool.capacity() ?? 0 : 0
    const requirement = freshnessRequirement(context, request, excluded)
    if (requirement === undefined) return 0
    return group.readCandidates(request.team)
      .filter((candidate) => canServe([candidate], requirement))
      .reduce((sum, { capacity }) => sum + capacity, 0)
  }

  function needsPrimary (request: StatementRequest, excluded: ReadonlySet<string>): boolean {
    if (!isReadRequest(request)) return true
    const requirement = hasTeams() ? freshnessRequirement(context, request, excluded) : undefined
    return requirement !== undefined && !canServe(group.readCandidates(request.team).filter(({ isPrimary }) => !isPrimary), requirement)
  }

  function slackOf (request: StatementRequest): number {
    return request.aimMs - request.ageMs - timing.costOf(request)
  }

  function assess (request: StatementRequest, excluded: ReadonlySet<string>, remainingMs: number): Assessment {
    const slots = servingSlots(request, excluded)
    const slackMs = slackOf(request)
    return { remainingMs, slackMs, slots, expectedWaitMs: expectedWait(request, slots, slackMs > 0, needsPrimary(request, excluded)) }
  }

  /**
   * Expected wait in the queue, in ms. Late work goes last, behind everything that waits. A request that needs the primary waits
   * for its turn among all requests and among those that need the primary; the longer wait counts.
   */
  function expectedWait (request: StatementRequest, slots: number, canBeOnTime: boolean, isForPrimary: boolean): number {
    const { priority: rank, team } = request
    const candidate = { rank, team, costMs: timing.costOf(request), needsPrimary: isForPrimary, canBeOnTime }
    const { allMs, needPrimaryMs } = queue.ahead(candidate, now())
    if (!isForPrimary) return allMs / Math.max(1, slots)
    const allSlots = group.readCandidates(request.team).reduce((sum, { capacity }) => sum + capacity, 0)
    return Math.max(allMs / Math.max(1, slots, allSlots), needPrimaryMs / Math.max(1, slots))
  }

  function noTargetFailure (request: StatementRequest): StatementFailure {
    const reason = isReadRequest(request) ? 'no_fresh_target' : 'no_primary'
    return statementFailure('busy', reason, { retryAfterMs: Math.ceil(context.successorExpectedMs() ?? NO_TARGET_RETRY_AFTER_MS) })
  }

  function overloadedFailure (retryAfterMs: number): StatementFailure {
    return statementFailure('busy', 'overloaded', { retryAfterMs: Math.ceil(retryAfterMs) })
  }

  /** Time until a refused caller may return, in ms. */
  function returnDelayMs (request: StatementRequest, assessment: Assessment): number {
    const { expectedWaitMs, remainingMs } = assessment
    const roomInMs = Math.max(0, expectedWaitMs - maxAdmittedWaitMs(assessment))
    return returns.delayMs({ rank: request.priority, costMs: timing.costOf(request), roomInMs, maxMs: remainingMs }, now())
  }

  /** Refuses a request for load: on arrival, or after it has waited. */
  function refuse (request: StatementRequest, assessment: Assessment, result: SlotResult): StatementFailure {
    const retryAfterMs = returnDelayMs(request, assessment)
    const isLoud = queue.isLoud(request.priority, request.team)
    recorder.record(result, request, isLoud)
    recorder.logRefusal(request, isLoud, { ...assessment, costMs: timing.costOf(request), waiting: queue.size(), retryAfterMs })
    return overloadedFailure(retryAfterMs)
  }

  /** While no target can serve, a request waits only during the startup, or if a new primary is expected well before its deadline. */
  function admitWithoutTarget (request: StatementRequest, remainingMs: number): number | StatementFailure {
    if (context.isStarting()) return Math.min(remainingMs * MAX_WAIT_FRACTION, STARTUP_MAX_WAIT_MS)
    const expectedMs = context.successorExpectedMs()
    return expectedMs !== undefined && expectedMs < remainingMs * MAX_WAIT_FRACTION
      ? remainingMs * MAX_FAILOVER_WAIT_FRACTION
      : noTargetFailure(request)
  }

  return {
    expectedWaitMs: (request, excluded) => assess(request, excluded, request.deadlineMs).expectedWaitMs,
    admit (request, excluded, remainingMs) {
      const assessment = assess(request, excluded, remainingMs)
      if (assessment.slots === 0) return admitWithoutTarget(request, remainingMs)
      if (shouldAdmit(assessment)) return remainingMs * MAX_WAIT_FRACTION
      return hasTeams() ? refuse(request, assessment, 'refused') : overloadedFailure(assessment.expectedWaitMs)
    },
    expiredFailure (request, excluded, remainingMs) {
      const assessment = assess(request, excluded, remainingMs)
      if (assessment.slots === 0) return noTargetFailure(request)
      return hasTeams() ? refuse(request, assessment, 'expired') : overloadedFailure(NO_TARGET_RETRY_AFTER_MS)
    },
    slackOf,
    needsPrimary,
    waits () {
      let capacity = 0
      for (const { pool } of group.all()) capacity += pool.capacity()
      const costMs = timing.meanServiceTimeMs()
      return queue.ranks().filter((rank) => rank >= 0).map((rank) => {
        const { allMs } = queue.ahead({ rank, team: NEW_TEAM, costMs, needsPrimary: false, canBeOnTime: true }, now())
        return { priority: rank, waitMs: Math.floor(allMs / Math.max(1, capacity)) }
      })
    },
  }
}
