import CRC32 from 'crc-32'

/** Size of a record header in bytes: the length and the CRC-32 of the payload, each 32 bits, big-endian. */
export const HEADER_BYTES = 8

/** Maximum payload size of one record, in bytes. */
export const MAX_RECORD_BYTES = 64 * 1024 * 1024

/** Result of a scan of a log file. */
export interface RecordScan {
  readonly payloads: readonly string[]
  /** Offset of the end of the last valid record before the scan stopped. */
  readonly validBytes: number
  /** `torn`: the last record is incomplete or invalid; `damaged`: an invalid record is followed by a valid one. */
  readonly end: 'clean' | 'torn' | 'damaged'
}

/** Encodes a record: header and payload in UTF-8. */
export function encodeRecord (payload: string): Buffer {
  const body = Buffer.from(payload, 'utf8')
  const header = Buffer.alloc(HEADER_BYTES)
  header.writeUInt32BE(body.length, 0)
  header.writeInt32BE(CRC32.buf(body), 4)
  return Buffer.concat([header, body])
}

/** Reads records up to the end of the file or the first invalid record. */
export function scanRecords (file: Buffer): RecordScan {
  const payloads: string[] = []
  let offset = 0
  while (offset < file.length) {
    const payload = readRecord(file, offset)
    if (payload === undefined) {
      const end = hasRecordAfter(file, offset) ? 'damaged' : 'torn'
      return { payloads, validBytes: offset, end }
    }
    payloads.push(payload.toString('utf8'))
    offset += HEADER_BYTES + payload.length
  }
  return { payloads, validBytes: offset, end: 'clean' }
}

function readRecord (file: Buffer, offset: number): Buffer | undefined {
  if (offset + HEADER_BYTES > file.length) return undefined
  const length = file.readUInt32BE(offset)
  const end = offset + HEADER_BYTES + length
  if (length === 0 || length > MAX_RECORD_BYTES || end > file.length) return undefined
  const body = file.subarray(offset + HEADER_BYTES, end)
  return CRC32.buf(body) === file.readInt32BE(offset + 4) ? body : undefined
}

/** True if a valid record starts anywhere after `offset`. A torn write is always the last record, so one after it means damage. */
function hasRecordAfter (file: Buffer, offset: number): boolean {
  for (let start = offset + 1; start + HEADER_BYTES < file.length; start++) {
    if (readRecord(file, start) !== undefined) return true
  }
  return false
}
