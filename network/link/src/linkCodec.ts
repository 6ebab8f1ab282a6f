import { pack, unpack } from 'msgpackr'
import { type HomeReply, type HomeRequest } from '@briarpick/home'
import { FRAME_HEADER_BYTES, type Frame } from '@briarpick/pg-wire'

/** Type bytes of the messages on a link. A message is a type byte, a length and a payload, framed as in PostgreSQL. */
export const LinkCode = { run: 0x72, cancel: 0x78, data: 0x64, reply: 0x65 } as const

/** A request on a link. */
export interface LinkRun {
  readonly database: string
  readonly request: HomeRequest
}

/** Longest message on a link, in bytes. */
export const MAX_LINK_MESSAGE_BYTES = 288 * 1024 * 1024

const LENGTH_BYTES = 4

function encode (code: number, payload: Uint8Array): Buffer {
  const message = Buffer.allocUnsafe(FRAME_HEADER_BYTES + payload.length)
  message[0] = code
  message.writeInt32BE(LENGTH_BYTES + payload.length, 1)
  message.set(payload, FRAME_HEADER_BYTES)
  return message
}

/** Writes a request. */
export function encodeRun (run: LinkRun): Buffer {
  return encode(LinkCode.run, pack(run))
}

/** Writes the wish to stop the statement at work. */
export function encodeCancel (): Buffer {
  return encode(LinkCode.cancel, Buffer.alloc(0))
}

/** Writes a part of an answer. */
export function encodeData (bytes: Buffer): Buffer {
  return encode(LinkCode.data, bytes)
}

/** Writes the end of an answer. */
export function encodeReply (reply: HomeReply): Buffer {
  return encode(LinkCode.reply, pack(reply))
}

/** Bytes of a message behind its header. */
export function payloadOf (frame: Frame): Buffer {
  return frame.subarray(FRAME_HEADER_BYTES)
}

/** Reads a request. */
export function decodeRun (frame: Frame): LinkRun {
  const { database, request } = unpack(payloadOf(frame)) as LinkRun
  return { database, request: { ...request, bytes: Buffer.from(request.bytes) } }
}

/** Reads the end of an answer. */
export function decodeReply (frame: Frame): HomeReply {
  return unpack(payloadOf(frame)) as HomeReply
}
