import { BriarpickError } from '@briarpick/error'

/** One whole PostgreSQL message: its type byte, its length and its body. */
export type Frame = Buffer

/** Bytes of the type and the length. */
export const FRAME_HEADER_BYTES = 5

/** Cuts a byte stream into whole messages. */
export interface FrameReader {
  /** Whole messages that end in this chunk; a chunk's rest is kept. */
  push: (chunk: Buffer) => readonly Frame[]
}

/** Options of a frame reader. */
export interface FrameReaderOptions {
  /** Longest message that is read, in bytes. */
  readonly maxBytes: number
}

/** Creates a reader at the start of a message. */
export function createFrameReader (opts: FrameReaderOptions): FrameReader {
  let parts: Buffer[] = []
  let held = 0
  let needed = FRAME_HEADER_BYTES

  function lengthAt (bytes: Buffer, offset: number): number {
    const length = bytes.readInt32BE(offset + 1) + 1
    if (length < FRAME_HEADER_BYTES) throw malformed(`a message states a length of ${length - 1} bytes`)
    if (length > opts.maxBytes) throw malformed(`a message of ${length} bytes is longer than the limit of ${opts.maxBytes}`)
    return length
  }

  function cut (bytes: Buffer): Frame[] {
    const frames: Frame[] = []
    let offset = 0
    needed = FRAME_HEADER_BYTES
    while (bytes.length - offset >= FRAME_HEADER_BYTES) {
      const length = lengthAt(bytes, offset)
      if (bytes.length - offset < length) {
        needed = length
        break
      }
      frames.push(bytes.subarray(offset, offset + length))
      offset += length
    }
    const rest = bytes.subarray(offset)
    parts = rest.length > 0 ? [rest] : []
    held = rest.length
    return frames
  }

  return {
    push (chunk) {
      if (held === 0) return cut(chunk)
      parts.push(chunk)
      held += chunk.length
      return held < needed ? [] : cut(Buffer.concat(parts, held))
    },
  }
}

function malformed (reason: string): BriarpickError {
  return new BriarpickError('ERR_BRIARPICK_PROTOCOL', reason, { hint: 'send shorter messages, or check that the driver speaks PostgreSQL 3.0' })
}
