import fs from 'node:fs'
import path from 'node:path'
import { BriarpickError } from '@briarpick/error'
import { type HardState, type LogEntry, type PersistedState, type Snapshot } from '@briarpick/consensus-agreement'
import { encodeRecord, scanRecords } from './recordFormat.js'

/** A record of the log file. The first record of a file is always a snapshot. */
type LogRecord<C> =
  | { readonly kind: 'snapshot', readonly snapshot: Snapshot }
  | { readonly kind: 'hard', readonly hard: HardState }
  | { readonly kind: 'entries', readonly truncateFrom: number, readonly entries: ReadonlyArray<LogEntry<C>> }

/** The log file of a node. Each write returns after its record is synced, and throws ERR_BRIARPICK_DISK if it fails. */
export interface LogFile<C> {
  readonly persisted: PersistedState<C>
  /** Size in bytes of an incomplete last record that was truncated on opening; 0 if there was none. */
  readonly truncatedBytes: number
  readonly writeHard: (hard: HardState) => void
  /** Appends entries; they replace all entries from `truncateFrom` on. */
  readonly writeEntries: (truncateFrom: number, entries: ReadonlyArray<LogEntry<C>>) => void
  /** Replaces the file by one with this snapshot, term and vote, and the entries after the snapshot. */
  readonly writeSnapshot: (snapshot: Snapshot, hard: HardState, entries: ReadonlyArray<LogEntry<C>>) => void
  /** Number of records after the snapshot. */
  readonly recordsSinceSnapshot: () => number
  /** Number of bytes written since the last snapshot; after opening, the size of the file. */
  readonly bytesSinceSnapshot: () => number
  readonly close: () => void
}

const FILE_NAME = 'log'
const NEW_FILE_NAME = 'log.new'

/** Opens the log file in a folder, or creates it with an initial snapshot; throws ERR_BRIARPICK_LOG_DAMAGED if it is damaged. */
export function openLogFile<C> (folder: string, initialSnapshot: Snapshot): LogFile<C> {
  const file = path.join(folder, FILE_NAME)
  if (!fs.existsSync(file)) replaceFile(folder, [{ kind: 'snapshot', snapshot: initialSnapshot }])

  const content = fs.readFileSync(file)
  const scan = scanRecords(content)
  if (scan.end === 'damaged') throw damagedError(file, `the record at byte ${scan.validBytes} is invalid, and valid records follow it`)
  const persisted = replay<C>(file, scan.payloads)
  let fd = fs.openSync(file, 'r+')
  if (scan.end === 'torn') {
    fs.ftruncateSync(fd, scan.validBytes)
    fs.fdatasyncSync(fd)
  }
  let size = scan.validBytes
  let records = scan.payloads.length - 1
  let bytesWritten = size

  function write (record: LogRecord<C>): void {
    const bytes = encodeRecord(JSON.stringify(record))
    try {
      writeFully(fd, bytes, size)
      fs.fdatasyncSync(fd)
    } catch (err) {
      throw diskError(file, err)
    }
    size += bytes.length
    bytesWritten += bytes.length
    records += 1
  }

  return {
    persisted,
    truncatedBytes: content.length - scan.validBytes,
    writeHard: (hard) => write({ kind: 'hard', hard }),
    writeEntries: (truncateFrom, entries) => write({ kind: 'entries', truncateFrom, entries }),
    writeSnapshot (snapshot, hard, entries) {
      try {
        size = replaceFile(folder, [
          { kind: 'snapshot', snapshot },
          { kind: 'hard', hard },
          { kind: 'entries', truncateFrom: snapshot.index + 1, entries },
        ])
        fs.closeSync(fd)
        fd = fs.openSync(file, 'r+')
      } catch (err) {
        throw diskError(file, err)
      }
      records = 0
      bytesWritten = 0
    },
    recordsSinceSnapshot: () => records,
    bytesSinceSnapshot: () => bytesWritten,
    close: () => fs.closeSync(fd),
  }
}

function writeFully (fd: number, bytes: Buffer, position: number): void {
  let written = 0
  while (written < bytes.length) {
    written += fs.writeSync(fd, bytes, written, bytes.length - written, position + written)
  }
}

/** Writes the records to a temporary file, syncs it and renames it to the log file; returns its size in bytes. */
function replaceFile<C> (folder: string, records: ReadonlyArray<LogRecord<C>>): number {
  const bytes = Buffer.concat(records.map((record) => encodeRecord(JSON.stringify(record))))
  const temporary = path.join(folder, NEW_FILE_NAME)
  const fd = fs.openSync(temporary, 'w')
  try {
    writeFully(fd, bytes, 0)
    fs.fsyncSync(fd)
  } finally {
    fs.closeSync(fd)
  }
  fs.renameSync(temporary, path.join(folder, FILE_NAME))
  syncFolder(folder)
  return bytes.length
}

/** Syncs a folder, so that a rename in it survives a crash. */
export function syncFolder (folder: string): void {
  const fd = fs.openSync(folder, 'r')
  try {
    fs.fsyncSync(fd)
  } finally {
    fs.closeSync(fd)
  }
}

function replay<C> (file: string, payloads: readonly string[]): PersistedState<C> {
  let snapshot: Snapshot | undefined
  let hard: HardState = { term: 0, votedFor: null }
  let entries: Array<LogEntry<C>> = []
  for (const payload of payloads) {
    const record = JSON.parse(payload) as LogRecord<C>
    if (record.kind === 'snapshot') snapshot = record.snapshot
    else if (record.kind === 'hard') hard = record.hard
    else entries = [...entries.filter((entry) => entry.index < record.truncateFrom), ...record.entries]
  }
  if (snapshot === undefined) throw damagedError(file, 'its first record is not a snapshot')
  return { snapshot, hard, entries }
}

function damagedError (file: string, reason: string): BriarpickError {
  return new BriarpickError('ERR_BRIARPICK_LOG_DAMAGED', `${file} is damaged: ${reason}`, {
    hint: 'move the data folder away and restart the node: it joins with a new identity and receives the log from the other nodes',
  })
}

function diskError (file: string, err: unknown): BriarpickError {
  const reason = err instanceof Error ? err.message : String(err)
  return new BriarpickError('ERR_BRIARPICK_DISK', `cannot write ${file}: ${reason}`, {
    hint: 'free space or replace the disk, then restart the node; nothing that was not synced has been acknowledged',
    cause: err,
  })
}
