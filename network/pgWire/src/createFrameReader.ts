import { BriarpickError } from '@briarpick/error'

/** A complete PostgreSQL message: type byte, length and body. */
export type Frame = Buffer

/** Size of the type and the length of a message, in bytes. */
export const FRAME_HEADER_BYTES = 5

/** Splits a byte stream into messages. */
export interface FrameReader {
  /** Returns the messages completed by the chunk and buffers the rest. Throws ERR_BRIARPICK_PROTOCOL on an invalid length. */
  push: (chunk: Buffer) => readonly Frame[]
}

/** Options of a frame reader. */
export interface FrameReaderOptions {
  /** Maximum length of a message, in bytes. */
  readonly maxBytes: number
}

/** Creates a reader for a stream that starts at a message boundary. */
export function createFrameReader (opts: FrameReaderOptions): FrameReader {
  let buffered: Buffer[] = []
  let bufferedBytes = 0
  let requiredBytes = FRAME_HEADER_BYTES

  function lengthAt (bytes: Buffer, offset: number): number {
    const length = bytes.readInt32BE(offset + 1) + 1
    if (length < FRAME_HEADER_BYTES) throw malformed(`message has an invalid length of ${length - 1} bytes`)
    if (length > opts.maxBytes) throw malformed(`message of ${length} bytes exceeds the limit of ${opts.maxBytes} bytes`)
    return length
  }

  function splitFrames (bytes: Buffer): Frame[] {
    const frames: Frame[] = []
    let offset = 0
    requiredBytes = FRAME_HEADER_BYTES
    while (bytes.length - offset >= FRAME_HEADER_BYTES) {
      const length = lengthAt(bytes, offset)
      if (bytes.length - offset < length) {
        requiredBytes = length
        break
      }
      frames.push(bytes.subarray(offset, offset + length))
      offset += length
    }
    const rest = bytes.subarray(offset)
    buffered = rest.length > 0 ? [rest] : []
    bufferedBytes = rest.length
    return frames
  }

  return {
    push (chunk) {
      if (bufferedBytes === 0) return splitFrames(chunk)
      buffered.push(chunk)
      bufferedBytes += chunk.length
      return bufferedBytes < requiredBytes ? [] : splitFrames(Buffer.concat(buffered, bufferedBytes))
    },
  }
}

function malformed (reason: string): BriarpickError {
  return new BriarpickError('ERR_BRIARPICK_PROTOCOL', reason, { hint: 'send shorter messages, or check that the driver uses PostgreSQL protocol 3.0' })
}
