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
  /** Size in bytes of an incomplete last record that was found on opening and is overwritten; 0 if there was none. */
  readonly truncatedBytes: number
  readonly writeHard: (hard: HardState) => void
  /** Appends entries; they replace all entries from `truncateFrom` on. */
  readonly writeEntries: (truncateFrom: number, entries: ReadonlyArray<LogEntry<C>>) => void
  /** Replaces the file by one with this snapshot, term and vote, and the entries after the snapshot. */
  readonly writeSnapshot: (snapshot: Snapshot, hard: HardState, entries: ReadonlyArray<LogEntry<C>>) => void
  /**
   * Returns what a failed write left, after writing it to a new file: a failed sync leaves open what is on disk. Throws
   * ERR_BRIARPICK_DISK while writes still fail. Must be called after a failed write, before the next one.
   */
  readonly recover: () => PersistedState<C>
  /** Number of records after the snapshot. */
  readonly recordsSinceSnapshot: () => number
  /** Number of bytes written since the last snapshot; after opening, the size of the file. */
  readonly bytesSinceSnapshot: () => number
  readonly close: () => void
}

const FILE_NAME = 'log'
const NEW_FILE_NAME = 'log.new'

/** The operations on the file system that a log file uses. */
export type LogFileSystem = Pick<typeof fs,
  'openSync' | 'closeSync' | 'writeSync' | 'readFileSync' | 'ftruncateSync' | 'fsyncSync' | 'fdatasyncSync' | 'renameSync' | 'rmSync' | 'existsSync'>

/** Options of a log file. */
export interface LogFileOptions {
  /** File system; that of Node.js if absent. */
  readonly fileSystem?: LogFileSystem
}

/** Opens the log file in a folder, or creates it with an initial snapshot; throws ERR_BRIARPICK_LOG_DAMAGED if it is damaged. */
export function openLogFile<C> (folder: string, initialSnapshot: Snapshot, opts: LogFileOptions = {}): LogFile<C> {
  const fileSystem = opts.fileSystem ?? fs
  const file = path.join(folder, FILE_NAME)
  if (!fileSystem.existsSync(file)) {
    orDiskError(file, () => replaceFile(fileSystem, folder, encodeRecords([{ kind: 'snapshot', snapshot: initialSnapshot }])))
  }
  const { content, scan, persisted } = readLog<C>(fileSystem, file)
  let fd = fileSystem.openSync(file, 'r+')
  let hasTornRecord = scan.end === 'torn'
  let size = scan.validBytes
  let records = scan.payloads.length - 1
  let bytesWritten = size

  function write (record: LogRecord<C>): void {
    const bytes = encodeRecord(JSON.stringify(record))
    orDiskError(file, () => {
      if (hasTornRecord) fileSystem.ftruncateSync(fd, size)
      hasTornRecord = false
      writeFully(fileSystem, fd, bytes, size)
      fileSystem.fdatasyncSync(fd)
    })
    size += bytes.length
    bytesWritten += bytes.length
    records += 1
  }

  /** Replaces the file and opens the new one. */
  function replace (bytes: Buffer): void {
    orDiskError(file, () => {
      replaceFile(fileSystem, folder, bytes)
      const replaced = fd
      fd = fileSystem.openSync(file, 'r+')
      fileSystem.closeSync(replaced)
    })
    size = bytes.length
  }

  return {
    persisted,
    truncatedBytes: content.length - scan.validBytes,
    writeHard: (hard) => write({ kind: 'hard', hard }),
    writeEntries: (truncateFrom, entries) => write({ kind: 'entries', truncateFrom, entries }),
    writeSnapshot (snapshot, hard, entries) {
      replace(encodeRecords([
        { kind: 'snapshot', snapshot },
        { kind: 'hard', hard },
        { kind: 'entries', truncateFrom: snapshot.index + 1, entries },
      ]))
      records = 0
      bytesWritten = 0
    },
    recover () {
      const left = readLog<C>(fileSystem, file)
      replace(left.content.subarray(0, left.scan.validBytes))
      hasTornRecord = false
      records = left.scan.payloads.length - 1
      bytesWritten = size
      return left.persisted
    },
    recordsSinceSnapshot: () => records,
    bytesSinceSnapshot: () => bytesWritten,
    close: () => fileSystem.closeSync(fd),
  }
}

function readLog<C> (fileSystem: LogFileSystem, file: string) {
  const content = fileSystem.readFileSync(file)
  const scan = scanRecords(content)
  if (scan.end === 'damaged') throw damagedError(file, `the record at byte ${scan.validBytes} is invalid, and valid records follow it`)
  return { content, scan, persisted: replay<C>(file, scan.payloads) }
}

function encodeRecords<C> (records: ReadonlyArray<LogRecord<C>>): Buffer {
  return Buffer.concat(records.map((record) => encodeRecord(JSON.stringify(record))))
}

function orDiskError (file: string, write: () => void): void {
  try {
    write()
  } catch (err) {
    throw diskError(file, err)
  }
}

function writeFully (fileSystem: LogFileSystem, fd: number, bytes: Buffer, position: number): void {
  let written = 0
  while (written < bytes.length) {
    written += fileSystem.writeSync(fd, bytes, written, bytes.length - written, position + written)
  }
}

/** Writes a temporary file, syncs it and renames it to the log file. */
function replaceFile (fileSystem: LogFileSystem, folder: string, bytes: Buffer): void {
  const temporary = path.join(folder, NEW_FILE_NAME)
  const fd = fileSystem.openSync(temporary, 'w')
  try {
    writeFully(fileSystem, fd, bytes, 0)
    fileSystem.fsyncSync(fd)
  } catch (err) {
    // An unfinished copy would take up the room that the log needs.
    fileSystem.rmSync(temporary)
    throw err
  } finally {
    fileSystem.closeSync(fd)
  }
  fileSystem.renameSync(temporary, path.join(folder, FILE_NAME))
  syncFolder(folder, fileSystem)
}

/** Syncs a folder, so that a rename in it survives a crash. */
export function syncFolder (folder: string, fileSystem: LogFileSystem = fs): void {
  const fd = fileSystem.openSync(folder, 'r')
  try {
    fileSystem.fsyncSync(fd)
  } finally {
    fileSystem.closeSync(fd)
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
    hint: 'free space or replace the disk; nothing that was not synced has been acknowledged, and a running node resumes by itself',
    cause: err,
  })
}
