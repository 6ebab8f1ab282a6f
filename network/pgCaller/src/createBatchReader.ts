import { BriarpickError } from '@briarpick/error'
import { createFrameReader, type Frame, FrontendCode } from '@briarpick/pg-wire'

/** What a caller sends and waits for as one: a simple query, or extended messages up to a Sync or Flush. */
export interface CallerBatch {
  readonly kind: 'simple' | 'extended'
  /** The messages, with the Query or Sync that ends them; without the Flush. */
  readonly frames: readonly Frame[]
  /** True if the caller expects no ReadyForQuery. */
  readonly flushed: boolean
}

/** What a chunk of a caller's bytes held. */
export interface BatchRead {
  readonly batches: readonly CallerBatch[]
  /** True if the caller said goodbye. */
  readonly terminated: boolean
}

/** Options of a batch reader. */
export interface BatchReaderOptions {
  /** Longest batch in bytes; a longer one is a protocol error. */
  readonly maxBytes: number
}

/** Creates a reader that cuts a caller's bytes into batches. */
export function createBatchReader (opts: BatchReaderOptions): (chunk: Buffer) => BatchRead {
  const reader = createFrameReader({ maxBytes: opts.maxBytes })
  let pending: Frame[] = []
  let pendingBytes = 0

  function take (kind: CallerBatch['kind'], flushed: boolean): CallerBatch {
    const batch = { kind, frames: pending, flushed }
    pending = []
    pendingBytes = 0
    return batch
  }

  function hold (frame: Frame): void {
    pendingBytes += frame.length
    if (pendingBytes > opts.maxBytes) throw tooLong(opts.maxBytes)
    pending.push(frame)
  }

  const handlers: Readonly<Record<number, (frame: Frame) => CallerBatch | undefined>> = {
    [FrontendCode.query]: (frame) => {
      hold(frame)
      return take('simple', false)
    },
    [FrontendCode.sync]: (frame) => {
      hold(frame)
      return take('extended', false)
    },
    [FrontendCode.flush]: () => pending.length > 0 ? take('extended', true) : undefined,
  }

  return (chunk) => {
    const batches: CallerBatch[] = []
    for (const frame of reader.push(chunk)) {
      if (frame[0] === FrontendCode.terminate) return { batches, terminated: true }
      const batch = (handlers[frame[0]] ?? hold)(frame)
      if (batch !== undefined) batches.push(batch)
    }
    return { batches, terminated: false }
  }
}

function tooLong (maxBytes: number): BriarpickError {
  return new BriarpickError('ERR_BRIARPICK_PROTOCOL', `a batch is longer than the limit of ${maxBytes} bytes`, {
    hint: 'send fewer statements before each Sync',
  })
}
