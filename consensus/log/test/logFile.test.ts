import fs from 'node:fs'
import os from 'node:os'
import path from 'node:path'
import fc from 'fast-check'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { type Snapshot } from '@briarpick/consensus-agreement'
import { createLimitedFileSystem } from '@briarpick/harness'
import { encodeRecord, initDataFolder, openIdentity, openLogFile, scanRecords } from '../src/index.js'

const INITIAL_SNAPSHOT: Snapshot = { index: 0, term: 0, voters: { voters: ['a:first'], learners: [] }, state: null }
const entry = (index: number) => ({ index, term: 1, body: { kind: 'command' as const, command: `c${index}` } })
let folder: string

beforeEach(() => {
  folder = fs.mkdtempSync(path.join(os.tmpdir(), 'briarpick-log-'))
})

afterEach(() => {
  fs.rmSync(folder, { recursive: true, force: true })
})

function writeEntries (count: number): Buffer {
  const file = openLogFile<string>(folder, INITIAL_SNAPSHOT)
  file.writeHard({ term: 1, votedFor: 'a:first' })
  for (let index = 1; index <= count; index++) file.writeEntries(index, [entry(index)])
  file.close()
  return fs.readFileSync(path.join(folder, 'log'))
}

test('reopening the file restores the term, the vote and the entries', () => {
  writeEntries(3)
  const { persisted } = openLogFile<string>(folder, INITIAL_SNAPSHOT)
  expect(persisted.hard).toEqual({ term: 1, votedFor: 'a:first' })
  expect(persisted.entries.map(({ index }) => index)).toEqual([1, 2, 3])
})

test('a file truncated at any byte after the first record opens with a prefix of the entries and accepts new ones', () => {
  const original = writeEntries(4)
  const firstRecord = encodeRecord(JSON.stringify({ kind: 'snapshot', snapshot: INITIAL_SNAPSHOT })).length
  for (let size = firstRecord; size < original.length; size++) {
    fs.writeFileSync(path.join(folder, 'log'), original.subarray(0, size))
    const file = openLogFile<string>(folder, INITIAL_SNAPSHOT)
    const indexes = file.persisted.entries.map(({ index }) => index)
    expect(indexes).toEqual([1, 2, 3, 4].slice(0, indexes.length))
    file.writeEntries(indexes.length + 1, [entry(indexes.length + 1)])
    file.close()
    expect(openLogFile<string>(folder, INITIAL_SNAPSHOT).persisted.entries).toHaveLength(indexes.length + 1)
  }
})

test('a changed byte before the last record makes opening fail as damaged', () => {
  const whole = writeEntries(4)
  const lastRecord = encodeRecord(JSON.stringify({ kind: 'entries', truncateFrom: 4, entries: [entry(4)] })).length
  fc.assert(fc.property(fc.nat(whole.length - lastRecord - 1), fc.integer({ min: 1, max: 255 }), (position, change) => {
    const damaged = Buffer.from(whole)
    damaged[position] ^= change
    fs.writeFileSync(path.join(folder, 'log'), damaged)
    expect(() => openLogFile<string>(folder, INITIAL_SNAPSHOT)).toThrow(/damaged/)
  }), { seed: 1, numRuns: 200, endOnFailure: true })
})

test('scanning arbitrary bytes does not throw and stays within the file', () => {
  fc.assert(fc.property(fc.uint8Array({ maxLength: 400 }), (bytes) => {
    const scan = scanRecords(Buffer.from(bytes))
    expect(scan.validBytes).toBeLessThanOrEqual(bytes.length)
  }), { seed: 2, numRuns: 500, endOnFailure: true })
})

test('a snapshot replaces the file, and an incomplete temporary file is ignored', () => {
  const file = openLogFile<string>(folder, INITIAL_SNAPSHOT)
  file.writeEntries(1, [entry(1), entry(2), entry(3)])
  file.writeSnapshot({ ...INITIAL_SNAPSHOT, index: 2, term: 1, state: { sum: 2 } }, { term: 1, votedFor: null }, [entry(3)])
  file.writeEntries(4, [entry(4)])
  file.close()
  fs.writeFileSync(path.join(folder, 'log.new'), 'half')
  const { persisted } = openLogFile<string>(folder, INITIAL_SNAPSHOT)
  expect(persisted.snapshot.state).toEqual({ sum: 2 })
  expect(persisted.entries.map(({ index }) => index)).toEqual([3, 4])
})

test('entries that replaced others stay replaced after reopening', () => {
  const file = openLogFile<string>(folder, INITIAL_SNAPSHOT)
  file.writeEntries(1, [entry(1), entry(2), entry(3)])
  file.writeEntries(2, [{ ...entry(2), term: 2 }])
  file.close()
  expect(openLogFile<string>(folder, INITIAL_SNAPSHOT).persisted.entries.map(({ index, term }) => [index, term])).toEqual([[1, 1], [2, 2]])
})

test('an empty folder gets a new identity without a vote, and the folder of another node is rejected', () => {
  const identity = openIdentity(folder, 'control-1')
  expect(identity.id).toMatch(/^control-1:[0-9a-f-]{36}$/)
  expect(identity.firstSnapshot.voters.voters).toEqual([])
  expect(openIdentity(folder, 'control-1').id).toBe(identity.id)
  expect(() => openIdentity(folder, 'control-2')).toThrow(/belongs to node control-1/)
  expect(() => initDataFolder(folder, 'control-1', ['control-1'])).toThrow(/has an identity already/)
})

test('a failed write throws ERR_BRIARPICK_DISK', () => {
  const file = openLogFile<string>(folder, INITIAL_SNAPSHOT)
  file.close()
  expect(() => file.writeEntries(1, [entry(1)])).toThrow(expect.objectContaining({ code: 'ERR_BRIARPICK_DISK' }))
})

test('a write that fails at any byte leaves the records before it, and the file goes on once there is room', () => {
  const whole = encodeRecord(JSON.stringify({ kind: 'entries', truncateFrom: 2, entries: [entry(2)] })).length
  for (let room = 0; room < whole; room++) {
    fs.rmSync(path.join(folder, 'log'), { force: true })
    const { fileSystem, setRoom } = createLimitedFileSystem()
    const file = openLogFile<string>(folder, INITIAL_SNAPSHOT, { fileSystem })
    file.writeEntries(1, [entry(1)])
    setRoom(room)
    expect(() => file.writeEntries(2, [entry(2)])).toThrow(expect.objectContaining({ code: 'ERR_BRIARPICK_DISK' }))
    expect(() => file.recover()).toThrow(expect.objectContaining({ code: 'ERR_BRIARPICK_DISK' }))
    expect(fs.readdirSync(folder)).toEqual(['log'])
    expect(openLogFile<string>(folder, INITIAL_SNAPSHOT).persisted.entries.map(({ index }) => index)).toEqual([1])
    setRoom(Infinity)
    expect(file.recover().entries.map(({ index }) => index)).toEqual([1])
    file.writeEntries(2, [entry(2)])
    file.close()
    expect(openLogFile<string>(folder, INITIAL_SNAPSHOT).persisted.entries.map(({ index }) => index)).toEqual([1, 2])
  }
})

test('a compaction that fails at any byte leaves the old file, without a part of the new one', () => {
  const { fileSystem, setRoom } = createLimitedFileSystem()
  const file = openLogFile<string>(folder, INITIAL_SNAPSHOT, { fileSystem })
  file.writeHard({ term: 3, votedFor: 'a:first' })
  file.writeEntries(1, [entry(1), entry(2), entry(3)])
  const compacted: Snapshot = { ...INITIAL_SNAPSHOT, index: 2, term: 1, state: { sum: 2 } }
  for (let room = 0; room < 200; room++) {
    setRoom(room)
    expect(() => file.writeSnapshot(compacted, { term: 3, votedFor: 'a:first' }, [entry(3)])).toThrow(/ENOSPC/)
    expect(fs.readdirSync(folder)).toEqual(['log'])
  }
  setRoom(Infinity)
  const recovered = file.recover()
  expect(recovered.hard).toEqual({ term: 3, votedFor: 'a:first' })
  expect(recovered.entries.map(({ index }) => index)).toEqual([1, 2, 3])
  file.writeSnapshot(compacted, recovered.hard, [entry(3)])
  file.close()
  expect(openLogFile<string>(folder, INITIAL_SNAPSHOT).persisted.snapshot).toEqual(compacted)
})

test('after a failed sync the file is written anew before it counts as stored', () => {
  const { fileSystem, failSyncs } = createLimitedFileSystem()
  const file = openLogFile<string>(folder, INITIAL_SNAPSHOT, { fileSystem })
  failSyncs(true)
  expect(() => file.writeEntries(1, [entry(1)])).toThrow(/EIO/)
  expect(() => file.recover()).toThrow(/EIO/)
  failSyncs(false)
  const inode = fs.statSync(path.join(folder, 'log')).ino
  file.recover()
  expect(fs.statSync(path.join(folder, 'log')).ino).not.toBe(inode)
})

test('a file that ends in an unfinished record opens on a full disk, and the record is cut before the next write', () => {
  const whole = writeEntries(2)
  fs.truncateSync(path.join(folder, 'log'), whole.length - 3)
  const { fileSystem, setRoom } = createLimitedFileSystem()
  setRoom(0)
  const file = openLogFile<string>(folder, INITIAL_SNAPSHOT, { fileSystem })
  expect(file.truncatedBytes).toBeGreaterThan(0)
  setRoom(Infinity)
  file.writeHard({ term: 2, votedFor: null })
  file.close()
  const reopened = openLogFile<string>(folder, INITIAL_SNAPSHOT)
  expect(reopened.truncatedBytes).toBe(0)
  expect(reopened.persisted.entries.map(({ index }) => index)).toEqual([1])
})
