/** Messages of one caller that have arrived and wait behind the running statement, in order. */
export interface CallerQueue<M> {
  /** Adds a message that arrived as a text of a number of characters. */
  push: (message: M, characters: number) => void
  shift: () => M | undefined
  length: () => number
  /**
   * True from the moment at which the messages exceed a limit until they are down to a quarter of it: nothing more is to be read. While
   * the queues of all callers hold more than half of their budget, the limit is that of what each caller may hold anyway.
   */
  isFull: () => boolean
  /** Drops all messages, when the connection ends. */
  close: () => void
}

/** Queues of all callers of a process. Beyond their budget the queue that holds most gives way. */
export interface CallerQueues<M> {
  /** Opens the queue of a caller; `onDropped` is called when its messages have been dropped to keep the budget. */
  open: (onDropped: () => void) => CallerQueue<M>
  /** Memory of what all queues hold, in bytes. */
  bytes: () => number
}

/** Limits of queues. */
export interface CallerQueueLimits {
  /** Messages and characters from which a caller is not read any more; a single message may be larger. */
  readonly messages: number
  readonly characters: number
  /** Memory that a caller may hold while the queues of all hold more than half of `totalBytes`, in bytes. */
  readonly protectedBytes: number
  /** Memory of the queues of all callers, in bytes. */
  readonly totalBytes: number
}

/** Limits of a process with a heap of 160 MB and some thousand callers. */
export const CALLER_QUEUE_LIMITS: CallerQueueLimits = {
  messages: 256,
  characters: 256 * 1024,
  protectedBytes: 4 * 1024,
  totalBytes: 24 * 1024 * 1024,
}
/** Share of the limits at which a caller is read again. */
const RESUME_SHARE = 0.25
/** Memory of a message besides its characters, in bytes. */
const MESSAGE_OVERHEAD_BYTES = 300

/** A queue as the budget sees it. */
interface Held {
  bytes: number
  readonly drop: () => void
}

/** Creates the queues of a process without callers. */
export function createCallerQueues<M> (limits: CallerQueueLimits = CALLER_QUEUE_LIMITS): CallerQueues<M> {
  const queues = new Set<Held>()
  let totalBytes = 0

  function add (held: Held, bytes: number): void {
    held.bytes += bytes
    totalBytes += bytes
  }

  function makeRoom (): void {
    while (totalBytes > limits.totalBytes) {
      const largest = [...queues].reduce((most, next) => next.bytes > most.bytes ? next : most)
      add(largest, -largest.bytes)
      largest.drop()
    }
  }

  function open (onDropped: () => void): CallerQueue<M> {
    let entries: Array<{ readonly message: M, readonly characters: number, readonly bytes: number }> = []
    let characters = 0
    let isFull = false
    const held: Held = {
      bytes: 0,
      drop () {
        clear()
        onDropped()
      },
    }
    queues.add(held)

    function clear (): void {
      entries = []
      characters = 0
      isFull = false
    }

    function exceeds (share: number): boolean {
      if (totalBytes > limits.totalBytes / 2 && held.bytes > limits.protectedBytes * share) return true
      return entries.length > limits.messages * share || characters > limits.characters * share
    }

    return {
      push (message, size) {
        const bytes = size + MESSAGE_OVERHEAD_BYTES
        entries.push({ message, characters: size, bytes })
        characters += size
        add(held, bytes)
        makeRoom()
        isFull ||= exceeds(1)
      },
      shift () {
        const entry = entries.shift()
        characters -= entry?.characters ?? 0
        add(held, -(entry?.bytes ?? 0))
        isFull &&= exceeds(RESUME_SHARE)
        return entry?.message
      },
      length: () => entries.length,
      isFull: () => isFull,
      close () {
        clear()
        add(held, -held.bytes)
        queues.delete(held)
      },
    }
  }

  return { open, bytes: () => totalBytes }
}
