import { createLogger } from '@briarpick/logs'

/** Limits of the rows that a process holds of answers which are still arriving, in bytes. */
export interface AnswerLimits {
  /** Of one answer. */
  readonly answerBytes: number
  /** Of all answers. */
  readonly totalBytes: number
}

/** What a process holds of answers that are still arriving. Beyond the total, the largest gives way first. */
export interface AnswerBudget {
  /** Opens the share of an answer; `onDropped` is called once if its rows have to be dropped. */
  open: (onDropped: () => void) => AnswerShare
}

/** The share of one answer. */
export interface AnswerShare {
  /** Counts a row of a number of characters; false if the rows of this answer were dropped, and this one is not to be kept. */
  add: (characters: number) => boolean
  /** Ends the share, when the answer is complete or lost. */
  close: () => void
}

/** Limits of a process: rows are held up to three times, as text, as one message and as bytes, in a heap of 160 MB. */
export const ANSWER_LIMITS: AnswerLimits = { answerBytes: 8 * 1024 * 1024, totalBytes: 24 * 1024 * 1024 }
/** Memory of a row besides its characters, in bytes. */
const ROW_OVERHEAD_BYTES = 48
const log = createLogger('home:answers')

/** Creates a budget of which nothing is used. */
export function createAnswerBudget (limits: AnswerLimits): AnswerBudget {
  const held = new Map<AnswerShare, { bytes: number, readonly onDropped: () => void }>()
  let totalBytes = 0

  function release (share: AnswerShare): void {
    totalBytes -= held.get(share)?.bytes ?? 0
    held.delete(share)
  }

  function drop (share: AnswerShare, reason: 'answer' | 'total'): void {
    const entry = held.get(share)
    if (entry === undefined) return
    log('answerDropped', { reason, bytes: entry.bytes, totalBytes, answers: held.size })
    release(share)
    entry.onDropped()
  }

  function largest (): AnswerShare {
    const [[first]] = held
    return [...held].reduce((most, [share, { bytes }]) => bytes > (held.get(most)?.bytes ?? 0) ? share : most, first)
  }

  return {
    open (onDropped) {
      const entry = { bytes: 0, onDropped }
      const share: AnswerShare = {
        add (characters) {
          if (!held.has(share)) return false
          entry.bytes += characters + ROW_OVERHEAD_BYTES
          totalBytes += characters + ROW_OVERHEAD_BYTES
          if (entry.bytes > limits.answerBytes) drop(share, 'answer')
          while (totalBytes > limits.totalBytes) drop(largest(), 'total')
          return held.has(share)
        },
        close: () => release(share),
      }
      held.set(share, entry)
      return share
    },
  }
}
