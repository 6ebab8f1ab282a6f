/** Something that opens once, and may be waited for. */
export interface Gate {
  open: () => void
  isOpen: () => boolean
  /** Resolves true once it is open, false if that takes longer, in ms. */
  within: (timeoutMs: number) => Promise<boolean>
}

/** Creates a closed gate. */
export function createGate (): Gate {
  const waiting = new Set<() => void>()
  let isOpen = false
  return {
    isOpen: () => isOpen,
    open () {
      isOpen = true
      for (const wake of [...waiting]) wake()
    },
    within (timeoutMs) {
      if (isOpen) return Promise.resolve(true)
      return new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer)
          waiting.delete(wake)
          resolve(isOpen)
        }
        const timer = setTimeout(wake, timeoutMs)
        waiting.add(wake)
      })
    },
  }
}
