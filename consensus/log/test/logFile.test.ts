import fs from 'node:fs'
import os from 'node:os'
import path from 'node:path'
import fc from 'fast-check'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { type Snapshot } from '@briarpick/consensus-agreement'
import { encodeRecord, initDataFolder, openIdentity, openLogFile, scanRecords } from '../src/index.js'

const FIRST: Snapshot = { index: 0, term: 0, voters: { voters: ['a:first'], learners: [] }, state: null }
const entry = (index: number) => ({ index, term: 1, body: { kind: 'command' as const, command: `c${index}` } })
let folder: string

beforeEach(() => {
  folder = fs.mkdtempSync(path.join(os.tmpdir(), 'briarpick-log-'))
})

afterEach(() => {
  fs.rmSync(folder, { recursive: true, force: true })
})

function writeSome (count: number): Buffer {
  const file = openLogFile<string>(folder, FIRST)
  file.writeHard({ term: 1, votedFor: 'a:first' })
  for (let index = 1; index <= count; index++) file.writeEntries(index, [entry(index)])
  file.close()
  return fs.readFileSync(path.join(folder, 'log'))
}

test('what was written is there after opening again', () => {
  writeSome(3)
  const { persisted } = openLogFile<string>(folder, FIRST)
  expect(persisted.hard).toEqual({ term: 1, votedFor: 'a:first' })
  expect(persisted.entries.map(({ index }) => index)).toEqual([1, 2, 3])
})

test('a file cut at any byte opens with a prefix of what was written', () => {
  const whole = writeSome(4)
  const firstRecord = encodeRecord(JSON.stringify({ kind: 'snapshot', snapshot: FIRST })).length
  for (let size = firstRecord; size < whole.length; size++) {
    fs.writeFileSync(path.join(folder, 'log'), whole.subarray(0, size))
    const file = openLogFile<string>(folder, FIRST)
    const indexes = file.persisted.entries.map(({ index }) => index)
    expect(indexes).toEqual([1, 2, 3, 4].slice(0, indexes.length))
    file.writeEntries(indexes.length + 1, [entry(indexes.length + 1)])
    file.close()
    expect(openLogFile<string>(folder, FIRST).persisted.entries).toHaveLength(indexes.length + 1)
  }
})

test('a changed byte before the last record stops the node with a remedy', () => {
  const whole = writeSome(4)
  const lastRecord = encodeRecord(JSON.stringify({ kind: 'entries', truncateFrom: 4, entries: [entry(4)] })).length
  fc.assert(fc.property(fc.nat(whole.length - lastRecord - 1), fc.integer({ min: 1, max: 255 }), (place, change) => {
    const damaged = Buffer.from(whole)
    damaged[place] ^= change
    fs.writeFileSync(path.join(folder, 'log'), damaged)
    expect(() => openLogFile<string>(folder, FIRST)).toThrow(/damaged/)
  }), { seed: 1, numRuns: 200, endOnFailure: true })
})

test('bytes that are no records are read without an error and without a record', () => {
  fc.assert(fc.property(fc.uint8Array({ maxLength: 400 }), (bytes) => {
    const scan = scanRecords(Buffer.from(bytes))
    expect(scan.validBytes).toBeLessThanOrEqual(bytes.length)
  }), { seed: 2, numRuns: 500, endOnFailure: true })
})

test('a snapshot replaces the file, and a half-written one beside it is ignored', () => {
  const file = openLogFile<string>(folder, FIRST)
  file.writeEntries(1, [entry(1), entry(2), entry(3)])
  file.writeSnapshot({ ...FIRST, index: 2, term: 1, state: { sum: 2 } }, { term: 1, votedFor: null }, [entry(3)])
  file.writeEntries(4, [entry(4)])
  file.close()
  fs.writeFileSync(path.join(folder, 'log.new'), 'half')
  const { persisted } = openLogFile<string>(folder, FIRST)
  expect(persisted.snapshot.state).toEqual({ sum: 2 })
  expect(persisted.entries.map(({ index }) => index)).toEqual([3, 4])
})

test('an overwritten tail stays overwritten', () => {
  const file = openLogFile<string>(folder, FIRST)
  file.writeEntries(1, [entry(1), entry(2), entry(3)])
  file.writeEntries(2, [{ ...entry(2), term: 2 }])
  file.close()
  expect(openLogFile<string>(folder, FIRST).persisted.entries.map(({ index, term }) => [index, term])).toEqual([[1, 1], [2, 2]])
})

test('an empty folder gets a new identity without a vote, and the folder of another node is refused', () => {
  const identity = openIdentity(folder, 'control-1')
  expect(identity.id).toMatch(/^control-1:[0-9a-f-]{36}$/)
  expect(identity.firstSnapshot.voters.voters).toEqual([])
  expect(openIdentity(folder, 'control-1').id).toBe(identity.id)
  expect(() => openIdentity(folder, 'control-2')).toThrow(/belongs to node control-1/)
  expect(() => initDataFolder(folder, 'control-1', ['control-1'])).toThrow(/has an identity already/)
})

test('a full disk stops the write with a remedy', () => {
  const file = openLogFile<string>(folder, FIRST)
  file.close()
  expect(() => file.writeEntries(1, [entry(1)])).toThrow(expect.objectContaining({ code: 'ERR_BRIARPICK_DISK' }))
})
