import { hasReached, type LogPosition } from '@briarpick/types'

/** Waits until every required replica has reached a position. */
export interface Durability {
  /** Resolves to true once the position is replicated, to false if `fail` is called first. */
  wait: (position: LogPosition) => Promise<boolean>
  /** Re-evaluates all waiters; called when a replica position or the in-sync set changed. */
  check: () => void
  /** Resolves all waiters to false. */
  fail: () => void
  waiting: () => number
}

interface Waiter {
  readonly position: LogPosition
  readonly resolve: (replicated: boolean) => void
}

/** Options of a durability tracker. */
export interface DurabilityOptions {
  /** True if every required replica has reached the position. */
  readonly isReplicated: (position: LogPosition, hasReachedIt: typeof hasReached) => boolean
  /** Called when a waiter was added, and after each check that leaves waiters. */
  readonly onWait: () => void
}

/** Creates a durability tracker without waiters. */
export function createDurability (opts: DurabilityOptions): Durability {
  let waiters: Waiter[] = []
  return {
    wait (position) {
      if (opts.isReplicated(position, hasReached)) return Promise.resolve(true)
      return new Promise((resolve) => {
        waiters.push({ position, resolve })
        opts.onWait()
      })
    },
    check () {
      if (waiters.length === 0) return
      const replicated = waiters.filter((waiter) => opts.isReplicated(waiter.position, hasReached))
      if (replicated.length > 0) waiters = waiters.filter((waiter) => !replicated.includes(waiter))
      for (const waiter of replicated) waiter.resolve(true)
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
