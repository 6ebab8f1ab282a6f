// The entry point without the native addon: locating the addon at start-up costs more time than it saves on small messages.
import { Packr } from 'msgpackr/pack'
import { type Freshness, type HomeAction, type LogPosition, MAX_TIMER_MS, type StatementFailure, type StatementReply, type StatementRequest, type TransactionState } from '@briarpick/types'
import { type StatementOutcome } from '@briarpick/statement-home'
import { fromBinaryTexts, hasPlainTexts, toBinaryTexts } from './binaryTexts.js'
import { createPlaceholder } from './createPlaceholder.js'

/** Messages on a link. A response has the `number` of its request, so that requests can be pipelined. */
export type StatementLinkMessage =
  | { readonly kind: 'run', readonly number: number, readonly request: StatementRequest }
  /** Rolls back an open transaction; has no response. */
  | { readonly kind: 'rollBack', readonly database: string, readonly transaction: string }
  /** The caller of a pending request has left: if the request still waits, it is not to be begun. */
  | { readonly kind: 'cancel', readonly number: number }
  | { readonly kind: 'outcome', readonly number: number, readonly outcome: StatementOutcome }
  /** Asks the current home to record a commit that completed at a previous home, so that it may be acknowledged. */
  | { readonly kind: 'acknowledge', readonly number: number, readonly database: string, readonly term: number, readonly position: LogPosition }
  | { readonly kind: 'acknowledged', readonly number: number, readonly granted: boolean }
  | { readonly kind: 'ping' }
  | { readonly kind: 'pong' }

/** Maximum length of a link message, in bytes: the largest message of the caller protocol and its envelope. */
export const MAX_STATEMENT_LINK_MESSAGE_BYTES = 4 * 1024 * 1024

/** Size of the length prefix, in bytes. */
const HEADER_BYTES = 4
const packr = new Packr({ useRecords: false })

/**
 * Fields of a message in wire order, the message code first. A message with texts that strings do not carry is sent as a placeholder for
 * proxies that read such texts as other ones, with the fields of the message as an additional last field, which they ignore. No other
 * message ends with an array.
 */
type WireValues = readonly unknown[]

const MESSAGE_CODES = { run: 0, rollBack: 1, outcome: 2, ping: 3, pong: 4, acknowledge: 5, acknowledged: 6, cancel: 7 } as const

const encoders: { readonly [K in StatementLinkMessage['kind']]: (message: Extract<StatementLinkMessage, { kind: K }>) => WireValues } = {
  run: ({ number, request }) => [MESSAGE_CODES.run, number, ...requestToWire(request)],
  rollBack: ({ database, transaction }) => [MESSAGE_CODES.rollBack, database, transaction],
  cancel: ({ number }) => [MESSAGE_CODES.cancel, number],
  outcome ({ number, outcome }) {
    return [MESSAGE_CODES.outcome, number, outcome.state, waitsToWire(outcome.waits), ...replyToWire(outcome.reply)]
  },
  acknowledge: ({ number, database, term, position }) => [MESSAGE_CODES.acknowledge, number, database, term, ...positionToWire(position)],
  acknowledged: ({ number, granted }) => [MESSAGE_CODES.acknowledged, number, granted],
  ping: () => [MESSAGE_CODES.ping],
  pong: () => [MESSAGE_CODES.pong],
}

const decoders: Readonly<Record<number, (wire: WireValues) => StatementLinkMessage>> = {
  [MESSAGE_CODES.run]: ([, number, ...remainder]) => ({ kind: 'run', number: number as number, request: requestFromWire(remainder) }),
  [MESSAGE_CODES.rollBack]: ([, database, transaction]) => ({ kind: 'rollBack', database: database as string, transaction: transaction as string }),
  [MESSAGE_CODES.cancel]: ([, number]) => ({ kind: 'cancel', number: number as number }),
  [MESSAGE_CODES.outcome]: ([, number, state, waits, ...remainder]) => ({
    kind: 'outcome',
    number: number as number,
    outcome: { state: state as TransactionState, reply: replyFromWire(remainder), ...waitsFromWire(waits) },
  }),
  [MESSAGE_CODES.acknowledge]: ([, number, database, term, positionTerm, offset]) => ({
    kind: 'acknowledge',
    number: number as number,
    database: database as string,
    term: term as number,
    position: { term: positionTerm as number, offset: offset as number },
  }),
  [MESSAGE_CODES.acknowledged]: ([, number, granted]) => ({ kind: 'acknowledged', number: number as number, granted: granted === true }),
  [MESSAGE_CODES.ping]: () => ({ kind: 'ping' }),
  [MESSAGE_CODES.pong]: () => ({ kind: 'pong' }),
}

/** Encodes a message with a length prefix. */
export function encodeMessage (message: StatementLinkMessage): Buffer {
  const fields = toWire(message)
  const payload = packr.pack(hasPlainTexts(fields) ? fields : [...toWire(createPlaceholder(message)), toBinaryTexts(fields)])
  const bytes = Buffer.allocUnsafe(HEADER_BYTES + payload.length)
  bytes.writeUInt32BE(payload.length, 0)
  payload.copy(bytes, HEADER_BYTES)
  return bytes
}

/** Whether a reader rejects an encoded message because of its length. */
export function exceedsLengthLimit (bytes: Buffer): boolean {
  return bytes.length - HEADER_BYTES > MAX_STATEMENT_LINK_MESSAGE_BYTES
}

function toWire (message: StatementLinkMessage): WireValues {
  const encode = encoders[message.kind] as (message: StatementLinkMessage) => WireValues
  return encode(message)
}

/** Splits a byte stream into messages. */
export interface MessageReader {
  /** Returns the messages completed by the chunk. Throws on a message that is too long, malformed or of an unknown kind. */
  push: (chunk: Buffer) => readonly StatementLinkMessage[]
}

/** Creates a reader for a stream that starts at a message boundary. */
export function createMessageReader (): MessageReader {
  let remainder: Buffer = Buffer.alloc(0)
  return {
    push (chunk) {
      const bytes = remainder.length === 0 ? chunk : Buffer.concat([remainder, chunk])
      const messages: StatementLinkMessage[] = []
      let start = 0
      while (bytes.length - start >= HEADER_BYTES) {
        const length = bytes.readUInt32BE(start)
        if (length > MAX_STATEMENT_LINK_MESSAGE_BYTES) throw new RangeError(`link message of ${length} bytes exceeds the length limit`)
        const end = start + HEADER_BYTES + length
        if (bytes.length < end) break
        messages.push(decodeMessage(bytes.subarray(start + HEADER_BYTES, end)))
        start = end
      }
      remainder = bytes.subarray(start)
      return messages
    },
  }
}

function decodeMessage (payload: Buffer): StatementLinkMessage {
  const wire: unknown = packr.unpack(payload)
  const last: unknown = Array.isArray(wire) ? wire.at(-1) : undefined
  return fromWire(Array.isArray(last) ? fromBinaryTexts(last) : wire)
}

function fromWire (wire: unknown): StatementLinkMessage {
  const decode = Array.isArray(wire) ? decoders[wire[0] as number] : undefined
  if (decode === undefined) throw new RangeError('link message of unknown kind')
  return decode(wire as WireValues)
}

function requestToWire (request: StatementRequest): WireValues {
  const { database, id, team, transaction, begins, beginId, action, values, freshness, priority, aimMs, ageMs, deadlineMs } = request
  const { current, maxAgeMs, seen } = freshness
  const common = [database, id, team, transaction, begins, beginId, action, values.length === 0 ? null : values]
  return [...common, current, maxAgeMs, ...positionToWire(seen), priority, aimMs, ageMs, deadlineMs]
}

function requestFromWire (wire: WireValues): StatementRequest {
  const [database, id, team, transaction, begins, beginId, action, values, ...remainder] = wire
  const [current, maxAgeMs, term, offset, priority, aimMs, ageMs, deadlineMs] = remainder
  const freshness: Freshness = { current: current as boolean, maxAgeMs: maxAgeMs as number, seen: positionFromWire(term, offset) }
  return {
    database: database as string,
    id: id as string,
    team: team as string | null,
    transaction: transaction as string | null,
    begins: begins as StatementRequest['begins'],
    beginId: beginId as string | null,
    action: action as HomeAction,
    values: (values ?? []) as StatementRequest['values'],
    freshness,
    priority: priority as number,
    aimMs: aimMs as number,
    ageMs: ageMs as number,
    // Entries of earlier versions take any timeout of a route.
    deadlineMs: Math.min(deadlineMs as number, MAX_TIMER_MS),
  }
}

/** Waits as a flat list of priority and ms. */
function waitsToWire (waits: StatementOutcome['waits']): readonly number[] | null {
  return waits === undefined ? null : waits.flatMap(({ priority, waitMs }) => [priority, waitMs])
}

function waitsFromWire (wire: unknown): Pick<StatementOutcome, 'waits'> {
  if (!Array.isArray(wire)) return {}
  const values = wire as readonly number[]
  return { waits: values.flatMap((priority, index) => index % 2 === 0 ? [{ priority, waitMs: values[index + 1] }] : []) }
}

function replyToWire (reply: StatementReply): WireValues {
  if (reply.kind === 'error') return [null, reply]
  return [reply.rows, reply.signature, ...positionToWire(reply.position)]
}

function replyFromWire ([rows, signatureOrFailure, term, offset]: WireValues): StatementReply {
  if (rows === null) return signatureOrFailure as StatementFailure
  return { kind: 'done', rows: rows as readonly string[], signature: signatureOrFailure as string, position: positionFromWire(term, offset) }
}

function positionToWire (position: LogPosition | null): WireValues {
  return position === null ? [null, null] : [position.term, position.offset]
}

function positionFromWire (term: unknown, offset: unknown): LogPosition | null {
  return typeof term === 'number' && typeof offset === 'number' ? { term, offset } : null
}
