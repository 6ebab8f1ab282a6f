import { BackendError } from 'pg-gateway'
import { Writer } from 'pg-protocol/dist/buffer-writer.js'
import { type BriarpickError } from '@briarpick/error'
import { BackendCode, FrontendCode, type TransactionStatus } from './messageCode.js'

/** A column of a row description. */
export interface Column {
  readonly name: string
  /** OID of the type. */
  readonly typeId: number
}

/** Fields of an error message. */
export interface ErrorFields {
  readonly sqlState: string
  readonly message: string
  readonly detail?: string
  readonly hint?: string
  readonly severity?: 'ERROR' | 'FATAL'
}

const VARIABLE_SIZE = -1
const TEXT_FORMAT = 0
const NULL_LENGTH = -1

/** Writes an ErrorResponse. */
export function writeErrorFields (fields: ErrorFields): Buffer {
  const error = BackendError.create({
    severity: fields.severity ?? 'ERROR',
    code: fields.sqlState,
    message: fields.message,
    detail: fields.detail,
    hint: fields.hint,
  })
  return Buffer.from(error.flush())
}

/** Writes a briarpick error; its detail carries the code, and for refusals that nothing ran and when to come back. */
export function writeError (err: BriarpickError, severity: 'ERROR' | 'FATAL' = 'ERROR'): Buffer {
  const detail = [`code=${err.code}`, `outcome=${err.isRefusal ? 'refused' : 'unknown'}`]
  if (err.retryAfterMs !== undefined) detail.push(`retry_after_ms=${Math.ceil(err.retryAfterMs)}`)
  return writeErrorFields({ sqlState: err.sqlState, message: err.message, detail: detail.join(' '), hint: err.hint, severity })
}

/** Writes a ReadyForQuery. */
export function writeReadyForQuery (status: TransactionStatus): Buffer {
  return Buffer.from([BackendCode.readyForQuery, 0, 0, 0, 5, status.charCodeAt(0)])
}

/** Writes a CommandComplete. */
export function writeCommandComplete (tag: string): Buffer {
  return new Writer().addCString(tag).flush(BackendCode.commandComplete)
}

/** Writes a ParameterStatus. */
export function writeParameterStatus (name: string, value: string): Buffer {
  return new Writer().addCString(name).addCString(value).flush(BackendCode.parameterStatus)
}

/** Writes a BackendKeyData. */
export function writeBackendKeyData (processId: number, secret: number): Buffer {
  return new Writer().addInt32(processId).addInt32(secret).flush(BackendCode.backendKeyData)
}

/** Writes a RowDescription of columns in text format. */
export function writeRowDescription (columns: readonly Column[]): Buffer {
  const writer = new Writer().addInt16(columns.length)
  for (const column of columns) {
    writer.addCString(column.name).addInt32(0).addInt16(0)
    writer.addInt32(column.typeId).addInt16(VARIABLE_SIZE).addInt32(VARIABLE_SIZE).addInt16(TEXT_FORMAT)
  }
  return writer.flush(BackendCode.rowDescription)
}

/** Writes a DataRow of values in text format. */
export function writeDataRow (values: ReadonlyArray<string | null>): Buffer {
  const writer = new Writer().addInt16(values.length)
  for (const value of values) {
    if (value === null) writer.addInt32(NULL_LENGTH)
    else writer.addInt32(Buffer.byteLength(value)).addString(value)
  }
  return writer.flush(BackendCode.dataRow)
}

/** Writes a message that has no body. */
export function writeEmptyMessage (code: number): Buffer {
  return Buffer.from([code, 0, 0, 0, 4])
}

/** Writes a simple Query. */
export function writeQuery (text: string): Buffer {
  return new Writer().addCString(text).flush(FrontendCode.query)
}

/** Writes a Parse with the tail (parameter types) of another one. */
export function writeParse (name: string, text: string, tail: Buffer): Buffer {
  return new Writer().addCString(name).addCString(text).add(tail).flush(FrontendCode.parse)
}

/** Writes a Bind with the tail (formats and values) of another one. */
export function writeBind (portal: string, statement: string, tail: Buffer): Buffer {
  return new Writer().addCString(portal).addCString(statement).add(tail).flush(FrontendCode.bind)
}

/** Writes a Describe or Close of a statement or portal. */
export function writeDescribeOrClose (code: number, kind: 'S' | 'P', name: string): Buffer {
  return new Writer().addString(kind).addCString(name).flush(code)
}
