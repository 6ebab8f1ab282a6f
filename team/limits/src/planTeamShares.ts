import { divideShares } from './divideShares.js'

/** What the shares of one team depend on; the arrays have one element for each database. */
export interface TeamSharesInput {
  /** Present shares. */
  readonly current: readonly number[]
  /** Demands as fractions of the limit. */
  readonly demands: readonly number[]
}

/** Precision of the shares that are sent: more digits make messages longer, not better. */
const SHARE_STEPS = 10_000
/** Smallest change of a share that is sent, and the smallest one relative to the present share. */
export const MIN_CHANGE = 0.01
const MIN_RELATIVE_CHANGE = 0.1
/** Difference below which two shares are the same. */
export const ROUNDING = 1e-6

/** Divides a team's limit by demand. Small changes are left out, unless others can only be raised by them. */
export function planTeamShares ({ current, demands }: TeamSharesInput): readonly number[] {
  const shares = divideShares(demands).map(roundDown)
  const steady = current.map((share, i) => isWorthSending(share, shares[i], demands[i]) ? shares[i] : share)
  return steady.reduce((sum, share) => sum + share, 0) <= 1 + ROUNDING ? steady : shares
}

/** Rounds a share to the precision that is sent. */
export function roundDown (share: number): number {
  return Math.floor(share * SHARE_STEPS) / SHARE_STEPS
}

/** True if a change of a share is sent: an increase for a demand above the present share, or a large change. */
function isWorthSending (current: number, next: number, demand: number): boolean {
  if (next > current && demand > current) return next - current >= ROUNDING
  return Math.abs(next - current) >= Math.max(MIN_CHANGE, MIN_RELATIVE_CHANGE * current)
}
