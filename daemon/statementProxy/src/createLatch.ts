/** One-shot latch: once open, it stays open. */
export interface Latch {
  open: () => void
  isOpen: () => boolean
  /** Resolves with true once it is open, or with false after `timeoutMs`. */
  waitUntilOpen: (timeoutMs: number) => Promise<boolean>
}

/** Creates a closed latch. */
export function createLatch (): Latch {
  const waiters = new Set<() => void>()
  let isOpen = false
  return {
    isOpen: () => isOpen,
    open () {
      isOpen = true
      for (const notify of [...waiters]) notify()
    },
    waitUntilOpen (timeoutMs) {
      if (isOpen) return Promise.resolve(true)
      return new Promise((resolve) => {
        const notify = () => {
          clearTimeout(timer)
          waiters.delete(notify)
          resolve(isOpen)
        }
        const timer = setTimeout(notify, timeoutMs)
        waiters.add(notify)
      })
    },
  }
}
