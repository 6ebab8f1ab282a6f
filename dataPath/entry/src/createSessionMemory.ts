/** Limits of what sessions keep of their values and prepared statements, in bytes. */
export interface SessionMemoryLimits {
  readonly sessionBytes: number
  /** Of all sessions; beyond it only those that hold less than `protectedBytes` may keep more. */
  readonly totalBytes: number
  readonly protectedBytes: number
}

/** Whether something may be kept: if not, which limit stands against it. */
export type KeepResult = 'kept' | 'sessionFull' | 'processFull'

/** What all sessions of a process keep. */
export interface SessionMemory {
  /** Opens the share of a session. */
  open: () => SessionShare
  /** Bytes that all sessions hold: at most the total, and the protected bytes of each session. */
  bytes: () => number
  readonly limits: SessionMemoryLimits
}

/** What one session keeps, by keys of its own. */
export interface SessionShare {
  /** Counts texts under a key, in place of what was counted under it before, which stays if there is no room. */
  keep: (key: string, texts: readonly string[]) => KeepResult
  drop: (key: string) => void
  /** Ends the share with its session. */
  close: () => void
}

/** Limits of a process with a heap of 160 MB and some thousand sessions. */
export const SESSION_MEMORY_LIMITS: SessionMemoryLimits = {
  sessionBytes: 4 * 1024 * 1024,
  totalBytes: 32 * 1024 * 1024,
  protectedBytes: 4 * 1024,
}
/** Memory of an entry besides its texts, in bytes. */
const ENTRY_OVERHEAD_BYTES = 200
const MAX_ONE_BYTE_CHARACTER = 0xff

/** Creates the memory of a process without sessions. */
export function createSessionMemory (limits: SessionMemoryLimits = SESSION_MEMORY_LIMITS): SessionMemory {
  let totalBytes = 0

  function open (): SessionShare {
    const entries = new Map<string, number>()
    let heldBytes = 0

    function set (key: string, bytes: number): void {
      const change = bytes - (entries.get(key) ?? 0)
      if (bytes === 0) entries.delete(key)
      else entries.set(key, bytes)
      heldBytes += change
      totalBytes += change
    }

    function limitAgainst (change: number): KeepResult {
      if (change <= 0) return 'kept'
      if (heldBytes + change > limits.sessionBytes) return 'sessionFull'
      const isProtected = heldBytes + change <= limits.protectedBytes
      return totalBytes + change > limits.totalBytes && !isProtected ? 'processFull' : 'kept'
    }

    return {
      keep (key, texts) {
        const bytes = texts.reduce((sum, text) => sum + sizeOf(text), ENTRY_OVERHEAD_BYTES)
        const result = limitAgainst(bytes - (entries.get(key) ?? 0))
        if (result === 'kept') set(key, bytes)
        return result
      },
      drop: (key) => set(key, 0),
      close () {
        for (const key of [...entries.keys()]) set(key, 0)
      },
    }
  }

  return { open, bytes: () => totalBytes, limits }
}

/** Memory of a text, in bytes: two for each character unless all are of one byte. */
function sizeOf (text: string): number {
  for (let i = 0; i < text.length; i += 1) if (text.charCodeAt(i) > MAX_ONE_BYTE_CHARACTER) return 2 * text.length
  return text.length
}
