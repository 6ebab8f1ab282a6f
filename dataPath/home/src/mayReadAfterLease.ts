import { type StatementRequest } from '@briarpick/types'
import { oldestUsedAgeMs } from './createAckHistory.js'
import { isReadRequest } from './statementHomeContext.js'

/** End of a home's lease and the current time, in ms of the home's clock. */
export interface LeaseTime {
  readonly leaseEnd: number
  readonly now: number
}

/**
 * True if a home may still serve a request although its lease has ended, for the load of an outage of control: only this home and
 * earlier ones have acknowledged anything up to the end of the lease, so a read that needs nothing later needs no lease. The part of
 * the bound that `oldestUsedAgeMs` leaves covers the drift of clocks since then. A statement in a transaction needs the lease, as a
 * commit may have to follow it.
 */
export function mayReadAfterLease (request: StatementRequest, { leaseEnd, now }: LeaseTime): boolean {
  const { transaction, freshness } = request
  if (transaction !== null || !isReadRequest(request) || freshness.current) return false
  return now - oldestUsedAgeMs(freshness.maxAgeMs) <= leaseEnd
}
