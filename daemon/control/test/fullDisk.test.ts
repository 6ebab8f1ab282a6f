import fs from 'node:fs'
import os from 'node:os'
import path from 'node:path'
import { afterEach, expect, test } from 'vitest'
import { type ControlCommand } from '@briarpick/types'
import { type Snapshot } from '@briarpick/consensus-agreement'
import { encodeRecord, openLogFile } from '@briarpick/consensus-log'
import { BriarpickError } from '@briarpick/error'
import { createLimitedFileSystem, type LimitedFileSystem } from '@briarpick/harness'
import { setLogSink } from '@briarpick/logs'
import { createRpcServer, type Peer, type RpcServer } from '@briarpick/rpc'
import { createControlNode, type ControlNode } from '../src/createControlNode.js'
import { checkRaftEnvelope } from '../src/requestSchemas.js'

const TIMING = { heartbeatMs: 50, electionMinMs: 250, electionMaxMs: 500 }
const POLL = { timeout: 15_000, interval: 20 }
/** Less than any record of the log. */
const HALF_A_RECORD = 20
/** Number of records after which a node compacts its log. */
const COMPACT_AFTER_RECORDS = 1000
const NOOP: ControlCommand = { kind: 'noop' }
/** Codes of an error after which the outcome of a command is unknown, so that it is proposed again. */
const UNKNOWN_OUTCOME = ['ERR_BRIARPICK_NOT_LEADER', 'ERR_BRIARPICK_RPC_TIMEOUT']

interface Member {
  readonly name: string
  readonly folder: string
  readonly disk: LimitedFileSystem
  readonly node: ControlNode
  readonly server: RpcServer
}

let members: readonly Member[] = []
let fatal: readonly unknown[] = []

/** Starts control nodes in this process, each with a disk of its own that a test can fill and with a log of some records. */
async function startMembers (count: number, records = 0): Promise<void> {
  const names = Array.from({ length: count }, (_, i) => `c${i}`)
  const snapshot = { index: 0, term: 0, voters: { voters: names.map((name) => `${name}:first`), learners: [] }, state: null }
  members = await Promise.all(names.map(async (name): Promise<Member> => {
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'briarpick-disk-'))
    const disk = createLimitedFileSystem()
    if (records > 0) fs.writeFileSync(path.join(folder, 'log'), logOf(snapshot, records))
    const node = createControlNode({
      id: `${name}:first`,
      addressOf: (other) => members.find((member) => member.name === other)?.server.address,
      logFile: openLogFile<ControlCommand>(folder, snapshot, { fileSystem: disk.fileSystem }),
      timing: TIMING,
      random: Math.random,
      onFatal: (err) => { fatal = [...fatal, err] },
    })
    const receive = (raw: unknown, peer: Peer) => {
      const { from, message } = checkRaftEnvelope(raw)
      node.receive(from, message, peer)
    }
    const server = await createRpcServer({ listen: { host: '127.0.0.1', port: 0 }, handlers: { 'agreement.message': receive } })
    return { name, folder, disk, node, server }
  }))
}

function logOf (snapshot: Snapshot, records: number): Buffer {
  const entries = Array.from({ length: records }, (_, i) => i + 1).map((index) =>
    ({ kind: 'entries', truncateFrom: index, entries: [{ index, term: 1, body: { kind: 'command', command: NOOP } }] }))
  return Buffer.concat([{ kind: 'snapshot', snapshot }, ...entries].map((record) => encodeRecord(JSON.stringify(record))))
}

afterEach(async () => {
  setLogSink(undefined)
  for (const { node, server, folder } of members) {
    await node.close()
    await server.close()
    fs.rmSync(folder, { recursive: true, force: true })
  }
  members = []
  expect(fatal).toEqual([])
})

const isLeader = ({ node }: Member) => node.isReady()
const untilLeader = async (among = members): Promise<Member> => {
  let leaders: readonly Member[] = []
  const countLeaders = () => {
    leaders = among.filter(isLeader)
    return leaders.length
  }
  await expect.poll(countLeaders, POLL).toBe(1)
  return leaders[0]
}
/**
 * Proposes a command to the leader, and to the next one if that loses its leadership meanwhile; returns the node that accepted it. All
 * nodes share this process and its disk, so a slow sync of one holds up the heartbeats of all.
 */
const accept = async (among = members): Promise<Member> => {
  for (;;) {
    const leader = await untilLeader(among)
    try {
      await leader.node.propose(NOOP)
      return leader
    } catch (err) {
      if (!(err instanceof BriarpickError) || !UNKNOWN_OUTCOME.includes(err.code)) throw err
    }
  }
}
const storedIn = ({ folder }: Member) => {
  const file = openLogFile<ControlCommand>(folder, { index: 0, term: 0, voters: { voters: [], learners: [] }, state: null })
  file.close()
  return file.persisted.entries.at(-1)?.index ?? file.persisted.snapshot.index
}
const appliedIndexes = () => members.map(({ node }) => node.appliedIndex())
/** Waits until all nodes have applied the same entries, and checks that an accepted one is among them. */
const untilCaughtUp = async (accepted: number) => {
  await expect.poll(() => new Set(appliedIndexes()).size, POLL).toBe(1)
  expect(members[0].node.appliedIndex()).toBeGreaterThanOrEqual(accepted)
}
/** Records what a node has stored whenever it resumes, before it hears from any other node. */
const recordResumptions = (member: Member): readonly number[] => {
  const stored: number[] = []
  setLogSink((_topic, event) => { if (event === 'storageRecovered') stored.push(storedIn(member)) })
  return stored
}

test('two of six nodes whose disks are full, one half-way through a record, take no part until there is room, and lose nothing', async () => {
  await startMembers(6)
  const initialLeader = await untilLeader()
  const full = members.filter((member) => member !== initialLeader).slice(0, 2)
  await untilCaughtUp(initialLeader.node.appliedIndex())
  full[0].disk.setRoom(0)
  full[1].disk.setRoom(HALF_A_RECORD)
  const before = new Map(full.map((member) => [member, storedIn(member)]))
  let leader = initialLeader
  for (let i = 0; i < 5; i++) leader = await accept()
  const accepted = leader.node.appliedIndex()
  for (const [member, stored] of before) {
    await expect.poll(() => member.node.isStorageWritable(), POLL).toBe(false)
    expect(member.node.status()).toMatchObject({ role: 'follower', leader: null })
    expect(leader.node.status().match[`${member.name}:first`] ?? 0).toBeLessThanOrEqual(stored)
    expect(storedIn(member)).toBe(stored)
    member.disk.setRoom(Infinity)
  }
  await untilCaughtUp(accepted)
  for (const member of full) expect(storedIn(member)).toBeGreaterThanOrEqual(member.node.appliedIndex())
})

test('a leader whose disk is full steps down, does not accept the command, and follows the next leader once there is room', async () => {
  await startMembers(3)
  const leader = await accept()
  leader.disk.setRoom(HALF_A_RECORD)
  await expect(leader.node.propose(NOOP)).rejects.toMatchObject({ code: 'ERR_BRIARPICK_RPC_TIMEOUT' })
  expect(leader.node.isReady()).toBe(false)
  await expect(leader.node.propose(NOOP)).rejects.toMatchObject({ code: 'ERR_BRIARPICK_NOT_LEADER' })
  const next = await accept(members.filter((member) => member !== leader))
  leader.disk.setRoom(Infinity)
  await untilCaughtUp(next.node.appliedIndex())
  expect(leader.node.isStorageWritable()).toBe(true)
})

test('a node whose disk fills up while it compacts keeps its log, and resumes with it', async () => {
  const initialRecords = COMPACT_AFTER_RECORDS - 20
  await startMembers(3, initialRecords)
  const leader = await untilLeader()
  const follower = members.find((member) => member !== leader) as Member
  const storedOnResumption = recordResumptions(follower)
  follower.disk.failCreations(true)
  for (let i = 0; i < 100 && follower.node.isStorageWritable(); i++) await accept()
  await expect.poll(() => follower.node.isStorageWritable(), POLL).toBe(false)
  const accepted = Math.max(...appliedIndexes())
  const kept = storedIn(follower)
  expect(kept).toBeGreaterThan(initialRecords)
  expect(fs.readdirSync(follower.folder)).toEqual(['log'])
  follower.disk.failCreations(false)
  await expect.poll(() => follower.node.isStorageWritable(), POLL).toBe(true)
  expect(storedOnResumption).toEqual([kept])
  await untilLeader()
  await untilCaughtUp(accepted)
})

test('while a majority has no room nothing is accepted, and what was accepted before is there afterwards', async () => {
  await startMembers(3)
  const leader = await accept()
  const accepted = leader.node.appliedIndex()
  for (const { disk } of members) disk.setRoom(0)
  await expect(leader.node.propose(NOOP)).rejects.toThrow()
  await expect.poll(() => members.filter(isLeader).length, POLL).toBe(0)
  for (const { disk } of members) disk.setRoom(Infinity)
  const next = await accept()
  expect(next.node.appliedIndex()).toBeGreaterThan(accepted)
  await untilCaughtUp(next.node.appliedIndex())
})
