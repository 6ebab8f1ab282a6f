import { BackendError } from 'pg-gateway'
import { Writer } from 'pg-protocol/dist/buffer-writer.js'
import { type BriarpickError } from '@briarpick/error'
import { BackendCode, FrontendCode, type TransactionStatus } from './messageCode.js'

/** A column of a RowDescription. */
export interface Column {
  readonly name: string
  /** OID of the data type. */
  readonly typeId: number
}

/** Fields of an ErrorResponse; the severity is ERROR if absent. */
export interface ErrorFields {
  readonly sqlState: string
  readonly message: string
  readonly detail?: string
  readonly hint?: string
  readonly severity?: 'ERROR' | 'FATAL'
}

/** Type size and type modifier of a RowDescription for a type of variable size. */
const VARIABLE_SIZE = -1
const TEXT_FORMAT = 0
/** Value length that stands for NULL in a DataRow. */
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

/** Writes an error as an ErrorResponse. Its detail contains the code, the outcome (refused or unknown) and the retry delay in ms. */
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

/** Writes a RowDescription with all columns in text format. */
export function writeRowDescription (columns: readonly Column[]): Buffer {
  const writer = new Writer().addInt16(columns.length)
  for (const column of columns) {
    writer.addCString(column.name).addInt32(0).addInt16(0)
    writer.addInt32(column.typeId).addInt16(VARIABLE_SIZE).addInt32(VARIABLE_SIZE).addInt16(TEXT_FORMAT)
  }
  return writer.flush(BackendCode.rowDescription)
}

/** Writes a DataRow with all values in text format. */
export function writeDataRow (values: ReadonlyArray<string | null>): Buffer {
  const writer = new Writer().addInt16(values.length)
  for (const value of values) {
    if (value === null) writer.addInt32(NULL_LENGTH)
    else writer.addInt32(Buffer.byteLength(value)).addString(value)
  }
  return writer.flush(BackendCode.dataRow)
}

/** Writes a message without a body, such as Sync or ParseComplete. */
export function writeEmptyMessage (code: number): Buffer {
  return Buffer.from([code, 0, 0, 0, 4])
}

/** Writes a Query of the simple protocol. */
export function writeQuery (text: string): Buffer {
  return new Writer().addCString(text).flush(FrontendCode.query)
}

/** Writes a Parse; `tail` contains the encoded parameter types of an existing Parse. */
export function writeParse (name: string, text: string, tail: Buffer): Buffer {
  return new Writer().addCString(name).addCString(text).add(tail).flush(FrontendCode.parse)
}

/** Writes a Bind; `tail` contains the encoded formats and values of an existing Bind. */
export function writeBind (portal: string, statement: string, tail: Buffer): Buffer {
  return new Writer().addCString(portal).addCString(statement).add(tail).flush(FrontendCode.bind)
}

/** Writes a Describe or Close (`code`) of a prepared statement (S) or portal (P). */
export function writeDescribeOrClose (code: number, kind: 'S' | 'P', name: string): Buffer {
  return new Writer().addString(kind).addCString(name).flush(code)
}
