import { type Freshness } from '@briarpick/types'
import { oldestUsedAgeMs } from './createAckHistory.js'

/** End of a home's lease and the current time, in ms of the home's clock. */
export interface LeaseTime {
  readonly leaseEnd: number
  readonly now: number
}

/**
 * True if a home may still serve a read although its lease has ended, for the load of an outage of control: only this home and earlier
 * ones have acknowledged anything up to the end of the lease, so a read that needs nothing later needs no lease. The part of the bound
 * that `oldestUsedAgeMs` leaves covers the drift of clocks since then.
 */
export function mayReadAfterLease ({ current, maxAgeMs }: Freshness, { leaseEnd, now }: LeaseTime): boolean {
  return !current && now - oldestUsedAgeMs(maxAgeMs) <= leaseEnd
}
