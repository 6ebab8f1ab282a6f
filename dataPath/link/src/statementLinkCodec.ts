// Without the native addon, whose search at a start takes longer than it saves on small messages.
import { Packr } from 'msgpackr/pack'
import { type Freshness, type HomeAction, type LogPosition, type StatementFailure, type StatementReply, type StatementRequest, type TransactionState } from '@briarpick/types'
import { type StatementOutcome } from '@briarpick/statement-home'

/** Messages on a link. Numbers pair answers with questions. */
export type StatementLinkMessage =
  | { readonly kind: 'run', readonly number: number, readonly request: StatementRequest }
  | { readonly kind: 'forget', readonly database: string, readonly transaction: string }
  | { readonly kind: 'outcome', readonly number: number, readonly outcome: StatementOutcome }
  /** Asks for leave to acknowledge a commit that ended at an earlier home. */
  | { readonly kind: 'acknowledge', readonly number: number, readonly database: string, readonly term: number, readonly position: LogPosition }
  | { readonly kind: 'acknowledged', readonly number: number, readonly granted: boolean }
  | { readonly kind: 'ping' }
  | { readonly kind: 'pong' }

/** Longest message on a link, in bytes: a message of the caller's wire and its envelope. */
export const MAX_STATEMENT_LINK_MESSAGE_BYTES = 4 * 1024 * 1024

const HEADER_BYTES = 4
const packr = new Packr({ useRecords: false })

type Wire = readonly unknown[]

const CODES = { run: 0, forget: 1, outcome: 2, ping: 3, pong: 4, acknowledge: 5, acknowledged: 6 } as const

const encoders: { readonly [K in StatementLinkMessage['kind']]: (message: Extract<StatementLinkMessage, { kind: K }>) => Wire } = {
  run: ({ number, request }) => [CODES.run, number, ...requestToWire(request)],
  forget: ({ database, transaction }) => [CODES.forget, database, transaction],
  outcome: ({ number, outcome }) => [CODES.outcome, number, outcome.state, ...replyToWire(outcome.reply)],
  acknowledge: ({ number, database, term, position }) => [CODES.acknowledge, number, database, term, ...positionToWire(position)],
  acknowledged: ({ number, granted }) => [CODES.acknowledged, number, granted],
  ping: () => [CODES.ping],
  pong: () => [CODES.pong],
}

const decoders: Readonly<Record<number, (wire: Wire) => StatementLinkMessage>> = {
  [CODES.run]: ([, number, ...rest]) => ({ kind: 'run', number: number as number, request: requestFromWire(rest) }),
  [CODES.forget]: ([, database, transaction]) => ({ kind: 'forget', database: database as string, transaction: transaction as string }),
  [CODES.outcome]: ([, number, state, ...rest]) => ({
    kind: 'outcome', number: number as number, outcome: { state: state as TransactionState, reply: replyFromWire(rest) },
  }),
  [CODES.acknowledge]: ([, number, database, term, positionTerm, offset]) => ({
    kind: 'acknowledge',
    number: number as number,
    database: database as string,
    term: term as number,
    position: { term: positionTerm as number, offset: offset as number },
  }),
  [CODES.acknowledged]: ([, number, granted]) => ({ kind: 'acknowledged', number: number as number, granted: granted === true }),
  [CODES.ping]: () => ({ kind: 'ping' }),
  [CODES.pong]: () => ({ kind: 'pong' }),
}

/** Writes a message with its length in front. */
export function encodeMessage (message: StatementLinkMessage): Buffer {
  const encode = encoders[message.kind] as (message: StatementLinkMessage) => Wire
  const payload = packr.pack(encode(message))
  const bytes = Buffer.allocUnsafe(HEADER_BYTES + payload.length)
  bytes.writeUInt32BE(payload.length, 0)
  payload.copy(bytes, HEADER_BYTES)
  return bytes
}

/** Cuts a stream into messages. */
export interface MessageReader {
  /** Fails on a message that is too long or of no known kind. */
  push: (chunk: Buffer) => readonly StatementLinkMessage[]
}

/** Creates a reader of an empty stream. */
export function createMessageReader (): MessageReader {
  let rest: Buffer = Buffer.alloc(0)
  return {
    push (chunk) {
      const bytes = rest.length === 0 ? chunk : Buffer.concat([rest, chunk])
      const messages: StatementLinkMessage[] = []
      let start = 0
      while (bytes.length - start >= HEADER_BYTES) {
        const length = bytes.readUInt32BE(start)
        if (length > MAX_STATEMENT_LINK_MESSAGE_BYTES) throw new RangeError(`a message of ${length} bytes on a link`)
        const end = start + HEADER_BYTES + length
        if (bytes.length < end) break
        messages.push(decodeMessage(bytes.subarray(start + HEADER_BYTES, end)))
        start = end
      }
      rest = bytes.subarray(start)
      return messages
    },
  }
}

function decodeMessage (payload: Buffer): StatementLinkMessage {
  const wire: unknown = packr.unpack(payload)
  const decode = Array.isArray(wire) ? decoders[wire[0] as number] : undefined
  if (decode === undefined) throw new RangeError('a message of no known kind on a link')
  return decode(wire as Wire)
}

function requestToWire (request: StatementRequest): Wire {
  const { database, id, transaction, begins, beginId, action, values, freshness, priority, aimMs, ageMs, deadlineMs } = request
  const { current, maxAgeMs, seen } = freshness
  const common = [database, id, transaction, begins, beginId, action, values.length === 0 ? null : values]
  return [...common, current, maxAgeMs, ...positionToWire(seen), priority, aimMs, ageMs, deadlineMs]
}

function requestFromWire (wire: Wire): StatementRequest {
  const [database, id, transaction, begins, beginId, action, values, ...rest] = wire
  const [current, maxAgeMs, term, offset, priority, aimMs, ageMs, deadlineMs] = rest
  const freshness: Freshness = { current: current as boolean, maxAgeMs: maxAgeMs as number, seen: positionFromWire(term, offset) }
  return {
    database: database as string,
    id: id as string,
    transaction: transaction as string | null,
    begins: begins as StatementRequest['begins'],
    beginId: beginId as string | null,
    action: action as HomeAction,
    values: (values ?? []) as StatementRequest['values'],
    freshness,
    priority: priority as number,
    aimMs: aimMs as number,
    ageMs: ageMs as number,
    deadlineMs: deadlineMs as number,
  }
}

function replyToWire (reply: StatementReply): Wire {
  if (reply.kind === 'error') return [null, reply]
  return [reply.rows, reply.signature, ...positionToWire(reply.position)]
}

function replyFromWire ([rows, second, term, offset]: Wire): StatementReply {
  if (rows === null) return second as StatementFailure
  return { kind: 'done', rows: rows as readonly string[], signature: second as string, position: positionFromWire(term, offset) }
}

function positionToWire (position: LogPosition | null): Wire {
  return position === null ? [null, null] : [position.term, position.offset]
}

function positionFromWire (term: unknown, offset: unknown): LogPosition | null {
  return typeof term === 'number' && typeof offset === 'number' ? { term, offset } : null
}
