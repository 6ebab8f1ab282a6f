import { Packr } from 'msgpackr/pack'
import { type StatementRequest } from '@briarpick/types'
import { type StatementOutcome } from '@briarpick/statement-home'

/**
 * The codec of runs and outcomes as it was before texts that are not well-formed were carried: proxies of such builds stay in use during
 * an update. It must not follow changes of the codec.
 */
const packr = new Packr({ useRecords: false })
const HEADER_BYTES = 4
const RUN = 0
const OUTCOME = 2

/** A run or an outcome. */
export interface EarlierMessage {
  readonly number: number
  readonly request?: StatementRequest
  readonly outcome?: StatementOutcome
}

export function encodeEarlierRun (number: number, request: StatementRequest): Buffer {
  const { database, id, team, transaction, begins, beginId, action, values, freshness, priority, aimMs, ageMs, deadlineMs } = request
  const { current, maxAgeMs, seen } = freshness
  const common = [database, id, team, transaction, begins, beginId, action, values.length === 0 ? null : values]
  return frame([RUN, number, ...common, current, maxAgeMs, seen?.term ?? null, seen?.offset ?? null, priority, aimMs, ageMs, deadlineMs])
}

export function encodeEarlierOutcome (number: number, { state, reply }: StatementOutcome): Buffer {
  if (reply.kind === 'error') return frame([OUTCOME, number, state, null, null, reply])
  return frame([OUTCOME, number, state, null, reply.rows, reply.signature, reply.position?.term ?? null, reply.position?.offset ?? null])
}

/** Reads the runs and outcomes of a stream; other messages are left out. */
export function createEarlierReader () {
  let remainder = Buffer.alloc(0)
  return (chunk: Buffer): readonly EarlierMessage[] => {
    remainder = Buffer.concat([remainder, chunk])
    const messages: EarlierMessage[] = []
    while (remainder.length >= HEADER_BYTES && remainder.length >= HEADER_BYTES + remainder.readUInt32BE(0)) {
      const end = HEADER_BYTES + remainder.readUInt32BE(0)
      const [code, number, ...fields] = packr.unpack(remainder.subarray(HEADER_BYTES, end)) as [number, number, ...never[]]
      if (code === RUN) messages.push({ number, request: readRequest(fields) })
      if (code === OUTCOME) messages.push({ number, outcome: readOutcome(fields) })
      remainder = remainder.subarray(end)
    }
    return messages
  }
}

function readRequest (fields: readonly never[]): StatementRequest {
  const [database, id, team, transaction, begins, beginId, action, values, ...remainder] = fields
  const [current, maxAgeMs, term, offset, priority, aimMs, ageMs, deadlineMs] = remainder
  const seen = typeof term === 'number' && typeof offset === 'number' ? { term, offset } : null
  const freshness = { current, maxAgeMs, seen }
  return { database, id, team, transaction, begins, beginId, action, values: values ?? [], freshness, priority, aimMs, ageMs, deadlineMs }
}

function readOutcome ([state, , rows, signatureOrFailure, term, offset]: readonly never[]): StatementOutcome {
  if (rows === null) return { state, reply: signatureOrFailure }
  const position = typeof term === 'number' && typeof offset === 'number' ? { term, offset } : null
  return { state, reply: { kind: 'done', rows, signature: signatureOrFailure, position } }
}

function frame (fields: readonly unknown[]): Buffer {
  const payload = packr.pack(fields)
  const header = Buffer.alloc(HEADER_BYTES)
  header.writeUInt32BE(payload.length)
  return Buffer.concat([header, payload])
}
