import { type StatementRequest } from '@briarpick/types'
import { createServiceTimeEstimate, createWaitEstimate } from '@briarpick/admission'
import { createPrimaryReserve } from './createPrimaryReserve.js'
import { type GroupTarget } from './createTargetGroup.js'
import { statementKind } from './statementKind.js'
import { INITIAL_SERVICE_TIME_MS, isReadRequest, type StatementHomeContext } from './statementHomeContext.js'

/** Measures for how long requests hold slots, and estimates it for the next ones. */
export interface SlotTiming {
  /** Starts to measure the use of a slot; the result ends it. */
  startUse: (target: GroupTarget, request: StatementRequest) => () => void
  /** Expected time in a slot, in ms: by kind of work or, in a deployment without teams, the average of all. */
  costOf: (request: StatementRequest) => number
  /** Average time that a statement outside a transaction holds a slot, in ms. */
  meanServiceTimeMs: () => number
  /** True if a read that a replica can serve too may use one more slot of the primary. */
  hasUnreservedSlot: (primary: { readonly active: number, readonly slots: number }) => boolean
}

/** Creates a timing without measurements. */
export function createSlotTiming (context: StatementHomeContext): SlotTiming {
  const { now } = context
  const { metrics, limits } = context.opts
  const estimate = createWaitEstimate(INITIAL_SERVICE_TIME_MS)
  const costs = createServiceTimeEstimate({ initialMs: INITIAL_SERVICE_TIME_MS })
  const reserve = createPrimaryReserve()

  function record (request: StatementRequest, isPrimary: boolean, durationMs: number): void {
    const isInsideTransaction = request.transaction !== null && request.begins === null
    if (!isInsideTransaction) estimate.record(durationMs)
    if (!limits().hasTeams) return
    metrics.latency('service_time_error', costs.record(statementKind(request), isPrimary ? 'primary' : 'replica', durationMs))
  }

  return {
    startUse (target, request) {
      const acquiredAt = performance.now()
      const isPrimary = target.member.instance === context.view().primary
      const isReserved = isPrimary && !isReadRequest(request)
      if (isReserved) reserve.record(1, now())
      return () => {
        if (isReserved) reserve.record(-1, now())
        record(request, isPrimary, performance.now() - acquiredAt)
      }
    },
    costOf: (request) => limits().hasTeams ? costs.expectedMs(statementKind(request)) : estimate.meanServiceTimeMs(),
    meanServiceTimeMs: estimate.meanServiceTimeMs,
    hasUnreservedSlot ({ active, slots }) {
      const reserved = reserve.reservedSlots(slots, now())
      return reserved === 0 || active < slots - reserved
    },
  }
}
