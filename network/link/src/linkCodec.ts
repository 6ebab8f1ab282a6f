import { pack, unpack } from 'msgpackr'
import { type HomeReply, type HomeRequest } from '@briarpick/home'
import { FRAME_HEADER_BYTES, type Frame } from '@briarpick/pg-wire'

/** Type bytes of link messages. Messages are framed as in PostgreSQL: type byte, length, payload. */
export const LinkCode = { run: 0x72, cancel: 0x78, data: 0x64, reply: 0x65 } as const

/** A request for the home of a database. */
export interface LinkRequest {
  readonly database: string
  readonly request: HomeRequest
}

/** Maximum length of a link message, in bytes. */
export const MAX_LINK_MESSAGE_BYTES = 288 * 1024 * 1024

/** Size of the length field, in bytes. The length counts the field itself. */
const LENGTH_BYTES = 4

function encode (code: number, payload: Uint8Array): Buffer {
  const message = Buffer.allocUnsafe(FRAME_HEADER_BYTES + payload.length)
  message[0] = code
  message.writeInt32BE(LENGTH_BYTES + payload.length, 1)
  message.set(payload, FRAME_HEADER_BYTES)
  return message
}

/** Encodes a request. */
export function encodeRequest (run: LinkRequest): Buffer {
  return encode(LinkCode.run, pack(run))
}

/** Encodes a request to cancel the running statement. */
export function encodeCancel (): Buffer {
  return encode(LinkCode.cancel, Buffer.alloc(0))
}

/** Encodes a part of the response: the bytes of PostgreSQL messages. */
export function encodeData (bytes: Buffer): Buffer {
  return encode(LinkCode.data, bytes)
}

/** Encodes the result that ends a response. */
export function encodeReply (reply: HomeReply): Buffer {
  return encode(LinkCode.reply, pack(reply))
}

/** Returns the payload of a message. */
export function payloadOf (frame: Frame): Buffer {
  return frame.subarray(FRAME_HEADER_BYTES)
}

/** Decodes a request. */
export function decodeRequest (frame: Frame): LinkRequest {
  const { database, request } = unpack(payloadOf(frame)) as LinkRequest
  return { database, request: { ...request, bytes: Buffer.from(request.bytes) } }
}

/** Decodes the result that ends a response. */
export function decodeReply (frame: Frame): HomeReply {
  return unpack(payloadOf(frame)) as HomeReply
}
