import { BackendCode, type ErrorSummary, type Frame, readCommandTag, readDataRow, readErrorSummary, readTransactionStatus, type TransactionStatus } from '@briarpick/pg-wire'
import { type GroupStatus, readGroupStatus } from '@briarpick/pg-target'
import { type ReplySink } from './homeTypes.js'

/** Options of a response buffer. */
export interface ResponseBufferOptions {
  readonly dropParseComplete: readonly number[]
  /** Receives the forwarded messages. */
  readonly sink: ReplySink
  /** Checked before the first byte is forwarded; if false, the response is never forwarded. */
  readonly mayForward: () => boolean
  /** Bytes to buffer before forwarding starts without a call of `forward`; Infinity to buffer until that call. */
  readonly bufferBytes: number
}

/** Buffers a target's response to one batch, and reads the response to the status query that may follow the batch. */
export interface ResponseBuffer {
  /** Adds received messages; a returned promise applies backpressure. */
  readonly push: (frames: readonly Frame[]) => Promise<void> | undefined
  /** Forwards the buffered messages; false if that is not allowed. */
  readonly forward: () => boolean
  /** Transaction status after the batch; undefined until the batch has ended. */
  readonly status: () => TransactionStatus | undefined
  readonly error: () => ErrorSummary | undefined
  readonly commandTags: () => readonly string[]
  /** True once any byte was forwarded. */
  readonly hasForwarded: () => boolean
  readonly groupStatus: () => GroupStatus | undefined
  /** The messages not yet forwarded. */
  readonly buffered: () => Buffer
  /** The messages not yet forwarded, without RowDescription and DataRow. */
  readonly bufferedWithoutRows: () => Buffer
}

/** Messages about the pooled connection, which are not part of the caller's response. */
const CONNECTION_LEVEL_CODES: ReadonlySet<number> = new Set([BackendCode.parameterStatus, BackendCode.notification])

const ROW_CODES: ReadonlySet<number> = new Set([BackendCode.rowDescription, BackendCode.dataRow])

/** Creates an empty response buffer. */
export function createResponseBuffer (opts: ResponseBufferOptions): ResponseBuffer {
  let pending: Buffer[] = []
  let bufferedBytes = 0
  let forwarded = false
  let blocked = false
  let parseCompleteCount = 0
  let status: TransactionStatus | undefined
  let error: ErrorSummary | undefined
  let groupStatus: GroupStatus | undefined
  const tags: string[] = []

  function isForCaller (frame: Frame): boolean {
    if (frame[0] !== BackendCode.parseComplete) return !CONNECTION_LEVEL_CODES.has(frame[0])
    const index = parseCompleteCount
    parseCompleteCount += 1
    return !opts.dropParseComplete.includes(index)
  }

  function add (frame: Frame): void {
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
    pending.push(frame)
    bufferedBytes += frame.length
  }

  function flush (): Promise<void> | undefined {
    if (blocked || bufferedBytes === 0) return undefined
    if (!forwarded && !opts.mayForward()) {
      blocked = true
      return undefined
    }
    forwarded = true
    const bytes = pending.length === 1 ? pending[0] : Buffer.concat(pending, bufferedBytes)
    pending = []
    bufferedBytes = 0
    return opts.sink(bytes)
  }

  return {
    push (frames) {
      for (const frame of frames) add(frame)
      return bufferedBytes >= opts.bufferBytes ? flush() : undefined
    },
    forward () {
      if (blocked || (!forwarded && !opts.mayForward())) return false
      flush()?.catch(() => {})
      return true
    },
    status: () => status,
    error: () => error,
    commandTags: () => tags,
    hasForwarded: () => forwarded,
    groupStatus: () => groupStatus,
    buffered: () => Buffer.concat(pending, bufferedBytes),
    bufferedWithoutRows: () => Buffer.concat(pending.filter((frame) => !ROW_CODES.has(frame[0]))),
  }
}
