import { type ReceiveBudget, type Reception } from './createReceiveBudget.js'

/** The message of a sender of which only the beginning has arrived. */
export interface PartialMessage {
  /** States how many bytes of it are held; `isNew` if it is another message than before. */
  update: (bytes: number, isNew: boolean) => void
  close: () => void
}

/** Bytes of a message that do not count to the budget: what each connection takes anyway. */
const UNCOUNTED_BYTES = 4096

/** Counts partial messages of one sender to a budget; `onEnd` is called when what has arrived has to be dropped. */
export function createPartialMessage (budget: ReceiveBudget, onEnd: () => void): PartialMessage {
  let reception: Reception | undefined
  let countedBytes = 0

  function close (): void {
    reception?.release()
    reception = undefined
    countedBytes = 0
  }

  return {
    update (bytes, isNew) {
      if (isNew || bytes <= UNCOUNTED_BYTES) close()
      if (bytes <= UNCOUNTED_BYTES) return
      reception ??= budget.open(onEnd)
      const addedBytes = bytes - countedBytes
      countedBytes = bytes
      reception.add(addedBytes)
    },
    close,
  }
}
