/** Ends waits early, once and for good. */
export interface Interruption {
  isInterrupted: () => boolean
  interrupt: () => void
  /** Settles like `work`, or resolves to `fallback` once interrupted. */
  race: <T>(work: Promise<T>, fallback: T) => Promise<T>
}

/** Creates an interruption that has not happened yet. */
export function createInterruption (): Interruption {
  // Not one promise for all waits: it would keep the reactions of every finished wait of a long session.
  const waiters = new Set<() => void>()
  let isInterrupted = false
  return {
    isInterrupted: () => isInterrupted,
    interrupt () {
      isInterrupted = true
      for (const resolveWaiter of [...waiters]) resolveWaiter()
    },
    race: async (work, fallback) => await new Promise((resolve, reject) => {
      const giveUp = () => {
        waiters.delete(giveUp)
        resolve(fallback)
      }
      if (isInterrupted) {
        giveUp()
        return
      }
      waiters.add(giveUp)
      work.finally(() => waiters.delete(giveUp)).then(resolve, reject)
    }),
  }
}
