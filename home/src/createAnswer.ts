import { BackendCode, type ErrorSummary, type Frame, readCommandTag, readDataRow, readErrorSummary, readTransactionStatus, type TransactionStatus } from '@briarpick/pg-wire'
import { type GroupStatus, readGroupStatus } from '@briarpick/pg-target'
import { type ReplySink } from './homeTypes.js'

/** Options of an answer. */
export interface AnswerOptions {
  readonly dropParseComplete: readonly number[]
  /** Receives what is let through. */
  readonly sink: ReplySink
  /** Asked before the first byte is let through; false holds everything back for good. */
  readonly mayPass: () => boolean
  /** Bytes to hold before letting anything through by itself; Infinity to hold until `pass`. */
  readonly holdBytes: number
}

/** The answer of a target to one batch, and to the status question behind it. */
export interface Answer {
  readonly push: (frames: readonly Frame[]) => Promise<void> | undefined
  /** Lets through what is held; false if it may not pass. */
  readonly pass: () => boolean
  /** Status after the batch; undefined if it has not ended. */
  readonly status: () => TransactionStatus | undefined
  readonly error: () => ErrorSummary | undefined
  readonly tags: () => readonly string[]
  /** True once any byte was let through. */
  readonly hasPassed: () => boolean
  readonly groupStatus: () => GroupStatus | undefined
  /** What is held back. */
  readonly held: () => Buffer
  /** What is held back, without the rows and their description. */
  readonly heldWithoutRows: () => Buffer
}

/** Messages about the shared connection that are none of the caller's business. */
const NOT_FOR_CALLERS: ReadonlySet<number> = new Set([BackendCode.parameterStatus, BackendCode.notification])

const ROW_CODES: ReadonlySet<number> = new Set([BackendCode.rowDescription, BackendCode.dataRow])

/** Creates an answer that nothing was received of. */
export function createAnswer (opts: AnswerOptions): Answer {
  let held: Buffer[] = []
  let heldBytes = 0
  let passed = false
  let refused = false
  let parsesSeen = 0
  let status: TransactionStatus | undefined
  let error: ErrorSummary | undefined
  let groupStatus: GroupStatus | undefined
  const tags: string[] = []

  function isForCaller (frame: Frame): boolean {
    if (frame[0] !== BackendCode.parseComplete) return !NOT_FOR_CALLERS.has(frame[0])
    const place = parsesSeen
    parsesSeen += 1
    return !opts.dropParseComplete.includes(place)
  }

  function take (frame: Frame): void {
    if (status !== undefined) {
      if (frame[0] === BackendCode.dataRow) groupStatus = readGroupStatus([readDataRow(frame)])
      return
    }
    if (frame[0] === BackendCode.readyForQuery) {
      status = readTransactionStatus(frame)
      return
    }
    if (frame[0] === BackendCode.error) error ??= readErrorSummary(frame)
    if (frame[0] === BackendCode.commandComplete) tags.push(readCommandTag(frame))
    if (!isForCaller(frame)) return
    held.push(frame)
    heldBytes += frame.length
  }

  function flush (): Promise<void> | undefined {
    if (refused || heldBytes === 0) return undefined
    if (!passed && !opts.mayPass()) {
      refused = true
      return undefined
    }
    passed = true
    const bytes = held.length === 1 ? held[0] : Buffer.concat(held, heldBytes)
    held = []
    heldBytes = 0
    return opts.sink(bytes)
  }

  return {
    push (frames) {
      for (const frame of frames) take(frame)
      return heldBytes >= opts.holdBytes ? flush() : undefined
    },
    pass () {
      if (refused || (!passed && !opts.mayPass())) return false
      flush()?.catch(() => {})
      return true
    },
    status: () => status,
    error: () => error,
    tags: () => tags,
    hasPassed: () => passed,
    groupStatus: () => groupStatus,
    held: () => Buffer.concat(held, heldBytes),
    heldWithoutRows: () => Buffer.concat(held.filter((frame) => !ROW_CODES.has(frame[0]))),
  }
}
