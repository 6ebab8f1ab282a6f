import CRC32 from 'crc-32'

/** Bytes before the payload: its length and its CRC-32, both big-endian. */
export const HEADER_BYTES = 8

/** Longest payload of one record, in bytes. */
export const MAX_RECORD_BYTES = 64 * 1024 * 1024

/** What a scan of a log file found. `validBytes` ends the last whole record. */
export interface RecordScan {
  readonly payloads: readonly string[]
  readonly validBytes: number
  /** `torn`: an unfinished last record; `damaged`: a bad record with others after it. */
  readonly end: 'clean' | 'torn' | 'damaged'
}

/** Encodes one record. */
export function encodeRecord (payload: string): Buffer {
  const body = Buffer.from(payload, 'utf8')
  const header = Buffer.alloc(HEADER_BYTES)
  header.writeUInt32BE(body.length, 0)
  header.writeInt32BE(CRC32.buf(body), 4)
  return Buffer.concat([header, body])
}

/** Reads records until the end, a torn tail or damage. */
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

/** A crash leaves no whole record after the one it tore, so finding one means damage. */
function hasRecordAfter (file: Buffer, offset: number): boolean {
  for (let start = offset + 1; start + HEADER_BYTES < file.length; start++) {
    if (readRecord(file, start) !== undefined) return true
  }
  return false
}
