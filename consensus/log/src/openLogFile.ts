import fs from 'node:fs'
import path from 'node:path'
import { BriarpickError } from '@briarpick/error'
import { type HardState, type LogEntry, type PersistedState, type Snapshot } from '@briarpick/consensus-agreement'
import { encodeRecord, scanRecords } from './recordFormat.js'

/** Records of the log file. The first one is always a snapshot. */
type LogRecord<C> =
  | { readonly kind: 'snapshot', readonly snapshot: Snapshot }
  | { readonly kind: 'hard', readonly hard: HardState }
  | { readonly kind: 'entries', readonly truncateFrom: number, readonly entries: ReadonlyArray<LogEntry<C>> }

/** The log file of a node. Each call returns after its record is synced. */
export interface LogFile<C> {
  readonly persisted: PersistedState<C>
  /** Bytes of an unfinished last record that were cut on opening. */
  readonly truncatedBytes: number
  readonly writeHard: (hard: HardState) => void
  readonly writeEntries: (truncateFrom: number, entries: ReadonlyArray<LogEntry<C>>) => void
  /** Replaces the whole file. */
  readonly writeSnapshot: (snapshot: Snapshot, hard: HardState, entries: ReadonlyArray<LogEntry<C>>) => void
  /** Records written since the last snapshot. */
  readonly recordsSinceSnapshot: () => number
  /** Bytes written since the last snapshot. */
  readonly bytesSinceSnapshot: () => number
  readonly close: () => void
}

const FILE_NAME = 'log'
const NEW_FILE_NAME = 'log.new'

/** Opens the log file in a folder, and creates it from a first snapshot if there is none. */
export function openLogFile<C> (folder: string, first: Snapshot): LogFile<C> {
  const file = path.join(folder, FILE_NAME)
  if (!fs.existsSync(file)) replaceFile(folder, [{ kind: 'snapshot', snapshot: first }])

  const content = fs.readFileSync(file)
  const scan = scanRecords(content)
  if (scan.end === 'damaged') throw damaged(file, `a record at byte ${scan.validBytes} fails its checksum and others follow it`)
  const persisted = replay<C>(file, scan.payloads)
  let fd = fs.openSync(file, 'r+')
  if (scan.end === 'torn') {
    fs.ftruncateSync(fd, scan.validBytes)
    fs.fdatasyncSync(fd)
  }
  let size = scan.validBytes
  let records = scan.payloads.length - 1
  let bytesSince = size

  function write (record: LogRecord<C>): void {
    const bytes = encodeRecord(JSON.stringify(record))
    try {
      writeFully(fd, bytes, size)
      fs.fdatasyncSync(fd)
    } catch (err) {
      throw diskFailed(file, err)
    }
    size += bytes.length
    bytesSince += bytes.length
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
        throw diskFailed(file, err)
      }
      records = 0
      bytesSince = 0
    },
    recordsSinceSnapshot: () => records,
    bytesSinceSnapshot: () => bytesSince,
    close: () => fs.closeSync(fd),
  }
}

function writeFully (fd: number, bytes: Buffer, position: number): void {
  let written = 0
  while (written < bytes.length) {
    written += fs.writeSync(fd, bytes, written, bytes.length - written, position + written)
  }
}

/** Writes a new file beside the old one, syncs it, and renames it into place; returns its size in bytes. */
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

/** Syncs a folder, so that a rename in it lasts. */
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
  if (snapshot === undefined) throw damaged(file, 'its first record is not a snapshot')
  return { snapshot, hard, entries }
}

function damaged (file: string, reason: string): BriarpickError {
  return new BriarpickError('ERR_BRIARPICK_LOG_DAMAGED', `${file} is damaged: ${reason}`, {
    hint: 'move the data folder away and start the node again: it joins with a new identity and receives the log from the others',
  })
}

function diskFailed (file: string, err: unknown): BriarpickError {
  const reason = err instanceof Error ? err.message : String(err)
  return new BriarpickError('ERR_BRIARPICK_DISK', `cannot write ${file}: ${reason}`, {
    hint: 'free space or replace the disk, then start the node again; nothing unsynced was acknowledged',
    cause: err,
  })
}
