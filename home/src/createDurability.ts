import { hasReached, type LogPosition } from '@briarpick/types'

/** Waits until enough replicas hold a position. */
export interface Durability {
  /** Resolves true once the position is held, false if `fail` was called first. */
  wait: (position: LogPosition) => Promise<boolean>
  /** Looks again; called when a position or the in-sync set changed. */
  check: () => void
  /** Answers all that wait with false. */
  fail: () => void
  waiting: () => number
}

interface Waiter {
  readonly position: LogPosition
  readonly resolve: (held: boolean) => void
}

/** Options of durability. */
export interface DurabilityOptions {
  /** True if every replica that must hold a write has reached the position. */
  readonly isHeld: (position: LogPosition, hasReachedIt: typeof hasReached) => boolean
  /** Called when somebody starts to wait. */
  readonly onWait: () => void
}

/** Creates durability without waiters. */
export function createDurability (opts: DurabilityOptions): Durability {
  let waiters: Waiter[] = []
  return {
    wait (position) {
      if (opts.isHeld(position, hasReached)) return Promise.resolve(true)
      return new Promise((resolve) => {
        waiters.push({ position, resolve })
        opts.onWait()
      })
    },
    check () {
      if (waiters.length === 0) return
      const held = waiters.filter((waiter) => opts.isHeld(waiter.position, hasReached))
      if (held.length > 0) waiters = waiters.filter((waiter) => !held.includes(waiter))
      for (const waiter of held) waiter.resolve(true)
      if (waiters.length > 0) opts.onWait()
    },
    fail () {
      const failed = waiters
      waiters = []
      for (const waiter of failed) waiter.resolve(false)
    },
    waiting: () => waiters.length,
  }
}
