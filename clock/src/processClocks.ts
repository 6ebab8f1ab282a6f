import { createElapsedClock } from './createElapsedClock.js'

declare const side: unique symbol

/**
 * Time in ms on a clock that may count more than has passed, for whoever relies on what another process has promised: a lease that
 * it holds, a quorum that follows it. It stops relying on the promise too early rather than too late.
 */
export type HolderTime = number & { readonly [side]: 'holder' }

/**
 * Time in ms on a clock that never counts more than has passed, for whoever has promised something and will act otherwise once the
 * promise has ended: a lease granted, a leader followed. It waits too long rather than too short.
 */
export type GranterTime = number & { readonly [side]: 'granter' }

const elapsed = createElapsedClock()

/** The holder's clock of this process: it counts the suspension of the VM, and forward steps of the wall clock as well. */
export function holderMs (): HolderTime {
  return elapsed() as HolderTime
}

/** The granter's clock of this process: it counts neither steps of the wall clock nor the suspension of the VM. */
export function granterMs (): GranterTime {
  return performance.now() as GranterTime
}
