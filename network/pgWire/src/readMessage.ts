import { isUtf8 } from 'node:buffer'
import { BriarpickError } from '@briarpick/error'
import { FRAME_HEADER_BYTES, type Frame } from './createFrameReader.js'
import { BackendCode, type TransactionStatus } from './messageCode.js'

/** A Parse message. `tail` contains the encoded parameter types. */
export interface ParseMessage {
  readonly name: string
  readonly text: string
  readonly tail: Buffer
}

/** A Bind message. `tail` contains the encoded formats and values. */
export interface BindMessage {
  readonly portal: string
  readonly statement: string
  readonly tail: Buffer
}

/** A Describe or Close message. */
export interface DescribeOrCloseMessage {
  /** S for a prepared statement, P for a portal. */
  readonly kind: 'S' | 'P'
  readonly name: string
}

/** Fields of an ErrorResponse that the proxy evaluates. */
export interface ErrorSummary {
  readonly severity: string
  readonly sqlState: string
  readonly message: string
}

interface CString {
  readonly value: string
  readonly end: number
}

/** Reads a string of a target, in which bytes that are not UTF-8 are replaced. */
function readCString (frame: Frame, start: number): CString {
  const zero = frame.indexOf(0, start)
  if (zero < 0) throw unterminatedString()
  return { value: frame.toString('utf8', start, zero), end: zero + 1 }
}

/** Reads a string of a caller. Names and texts that differ in bytes must differ as strings, so one that is not UTF-8 is refused. */
function readCallerString (frame: Frame, start: number): CString {
  const read = readCString(frame, start)
  if (!isUtf8(frame.subarray(start, read.end - 1))) throw notUtf8()
  return read
}

/** Returns the SQL text of a Query message. */
export function readQuery (frame: Frame): string {
  return readCallerString(frame, FRAME_HEADER_BYTES).value
}

/** Reads a Parse message. */
export function readParse (frame: Frame): ParseMessage {
  const name = readCallerString(frame, FRAME_HEADER_BYTES)
  const text = readCallerString(frame, name.end)
  return { name: name.value, text: text.value, tail: frame.subarray(text.end) }
}

/** Reads a Bind message. */
export function readBind (frame: Frame): BindMessage {
  const portal = readCallerString(frame, FRAME_HEADER_BYTES)
  const statement = readCallerString(frame, portal.end)
  return { portal: portal.value, statement: statement.value, tail: frame.subarray(statement.end) }
}

/** Reads a Describe or Close message. */
export function readDescribeOrClose (frame: Frame): DescribeOrCloseMessage {
  const kind = frame[FRAME_HEADER_BYTES] === 'S'.charCodeAt(0) ? 'S' : 'P'
  return { kind, name: readCallerString(frame, FRAME_HEADER_BYTES + 1).value }
}

/** Returns the portal name of an Execute message. */
export function readExecutePortal (frame: Frame): string {
  return readCallerString(frame, FRAME_HEADER_BYTES).value
}

/** Returns the transaction status of a ReadyForQuery message. */
export function readTransactionStatus (frame: Frame): TransactionStatus {
  return String.fromCharCode(frame[FRAME_HEADER_BYTES]) as TransactionStatus
}

/** Returns the command tag of a CommandComplete message. */
export function readCommandTag (frame: Frame): string {
  return readCString(frame, FRAME_HEADER_BYTES).value
}

/** Returns the column values of a DataRow message in text format. */
export function readDataRow (frame: Frame): ReadonlyArray<string | null> {
  const values: Array<string | null> = []
  let offset = FRAME_HEADER_BYTES + 2
  for (let remaining = frame.readInt16BE(FRAME_HEADER_BYTES); remaining > 0; remaining--) {
    const length = frame.readInt32BE(offset)
    offset += 4
    values.push(length < 0 ? null : frame.toString('utf8', offset, offset + length))
    offset += Math.max(0, length)
  }
  return values
}

/** Reads the fields of an ErrorResponse that the proxy evaluates; a missing field is an empty string. */
export function readErrorSummary (frame: Frame): ErrorSummary {
  const fields = new Map<string, string>()
  let offset = FRAME_HEADER_BYTES
  while (offset < frame.length && frame[offset] !== 0) {
    const field = readCString(frame, offset + 1)
    fields.set(String.fromCharCode(frame[offset]), field.value)
    offset = field.end
  }
  return { severity: fields.get('S') ?? '', sqlState: fields.get('C') ?? '', message: fields.get('M') ?? '' }
}

/** Whether a message is a ReadyForQuery. */
export function isReadyForQuery (frame: Frame): boolean {
  return frame[0] === BackendCode.readyForQuery
}

function notUtf8 (): BriarpickError {
  return new BriarpickError('ERR_BRIARPICK_PROTOCOL', 'message contains a string that is not UTF-8', { hint: 'use the client encoding UTF8' })
}

function unterminatedString (): BriarpickError {
  return new BriarpickError('ERR_BRIARPICK_PROTOCOL', 'message contains an unterminated string', { hint: 'check that the driver uses PostgreSQL protocol 3.0' })
}
