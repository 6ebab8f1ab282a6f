import { BriarpickError } from '@briarpick/error'
import { createFrameReader, type Frame, FrontendCode } from '@briarpick/pg-wire'

/** The messages that a caller sends before it waits for a response: one Query, or extended-protocol messages up to a Sync or Flush. */
export interface CallerBatch {
  readonly kind: 'simple' | 'extended'
  /** The messages, including a final Query or Sync, but not a final Flush. */
  readonly frames: readonly Frame[]
  /** Whether a Flush ended the batch, so that the caller expects no ReadyForQuery. */
  readonly flushed: boolean
}

/** Result of reading a chunk. */
export interface BatchRead {
  /** Batches completed by the chunk. */
  readonly batches: readonly CallerBatch[]
  /** Whether the caller sent a Terminate; messages after it are dropped. */
  readonly terminated: boolean
}

/** Options of a batch reader. */
export interface BatchReaderOptions {
  /** Maximum size of a batch, in bytes. */
  readonly maxBytes: number
}

/** Creates a reader that splits a caller's byte stream into batches. It throws ERR_BRIARPICK_PROTOCOL on a batch over the limit. */
export function createBatchReader (opts: BatchReaderOptions): (chunk: Buffer) => BatchRead {
  const reader = createFrameReader({ maxBytes: opts.maxBytes })
  let pending: Frame[] = []
  let pendingBytes = 0

  function endBatch (kind: CallerBatch['kind'], flushed: boolean): CallerBatch {
    const batch = { kind, frames: pending, flushed }
    pending = []
    pendingBytes = 0
    return batch
  }

  function append (frame: Frame): void {
    pendingBytes += frame.length
    if (pendingBytes > opts.maxBytes) throw batchTooLong(opts.maxBytes)
    pending.push(frame)
  }

  const handlers: Readonly<Record<number, (frame: Frame) => CallerBatch | undefined>> = {
    [FrontendCode.query]: (frame) => {
      append(frame)
      return endBatch('simple', false)
    },
    [FrontendCode.sync]: (frame) => {
      append(frame)
      return endBatch('extended', false)
    },
    [FrontendCode.flush]: () => pending.length > 0 ? endBatch('extended', true) : undefined,
  }

  return (chunk) => {
    const batches: CallerBatch[] = []
    for (const frame of reader.push(chunk)) {
      if (frame[0] === FrontendCode.terminate) return { batches, terminated: true }
      const batch = (handlers[frame[0]] ?? append)(frame)
      if (batch !== undefined) batches.push(batch)
    }
    return { batches, terminated: false }
  }
}

function batchTooLong (maxBytes: number): BriarpickError {
  return new BriarpickError('ERR_BRIARPICK_PROTOCOL', `batch exceeds the limit of ${maxBytes} bytes`, {
    hint: 'send fewer statements before each Sync',
  })
}
