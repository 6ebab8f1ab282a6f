import { afterEach, expect, test } from 'vitest'
import { type Address, formatAddress, type RouteTableDocument } from '@briarpick/types'
import { type LeaderResponse } from '@briarpick/control-finder'
import { createMetrics } from '@briarpick/metrics'
import { createRpcClient, createRpcServer } from '@briarpick/rpc'
import { type ControlDirectory, createControlDirectory, MAX_NOTICE_AGE_MS } from '../src/createControlDirectory.js'
import { createSeededControls, type SeededControls } from './startSeededControls.js'

const DISKS = [0, 1, 2]
const RELAYS = [3, 4, 5]
const SUCCESSORS = [6, 7]
/** Longest time until a control daemon that starts has found the cluster, in ms: `catch_up_s` of the smallest deployment. */
const CATCH_UP_MS = 4000
/** Longest time until a successor has taken the place of a lost voter, in ms: its silence of 3 s, and `CATCH_UP_MS`. */
const REPLACEMENT_MS = 7000
const ROUTES: RouteTableDocument = { document: '{}', table: { version: 7, routes: [], databases: [], transactionIdleMs: 1000 } }

let controls: SeededControls | undefined
let directories: ControlDirectory[] = []

afterEach(async () => {
  await controls?.close()
  controls = undefined
  await Promise.all(directories.map(async (directory) => { await directory.close() }))
  directories = []
})

/** Starts three control nodes with a disk, which are the seeds, and three without one; nobody sends them a request. */
async function startControls (): Promise<SeededControls> {
  controls = await createSeededControls()
  const { start, setSeeds } = controls
  setSeeds(DISKS)
  await Promise.all([
    ...DISKS.map(async (index) => await start(index, { hasDisk: true, isFirstStart: true })),
    ...RELAYS.map(async (index) => await start(index, { hasDisk: false, isFirstStart: true })),
  ])
  await expect.poll(async () => (await controls?.askLeader(0))?.leader ?? null, { timeout: CATCH_UP_MS }).not.toBeNull()
  return controls
}

async function untilRelaysNameLeader ({ askLeader }: SeededControls): Promise<void> {
  for (const relay of RELAYS) {
    await expect.poll(async () => (await askLeader(relay))?.leader ?? null, { timeout: CATCH_UP_MS }).not.toBeNull()
  }
}

/** Hosts of the voters in the log of a control node. */
async function votersOf (address: Address): Promise<readonly string[]> {
  const client = createRpcClient({ address })
  const status = await client.request<{ agreement: { voters: { voters: readonly string[] } } }>('control.status', {}, { timeoutMs: 500 })
    .catch(() => undefined)
  client.close()
  return status?.agreement.voters.voters.map((id) => id.slice(0, id.lastIndexOf(':'))) ?? []
}

// Guards against a proxy or control node that starts and never finds control, as the seeds are control daemons without a disk.
test('control daemons without a disk name the leader once they are the seeds, also after all of them have restarted', async () => {
  const started = await startControls()
  started.setSeeds(RELAYS)
  await untilRelaysNameLeader(started)
  await Promise.all(RELAYS.map(started.stop))
  await Promise.all(RELAYS.map(async (index) => await started.start(index, { hasDisk: false })))
  await untilRelaysNameLeader(started)
})

// Guards against RECOVER: after a kill of all processes the cluster had a leader, and no seed named it.
test('seeds without a disk name the leader after a restart of all control daemons', async () => {
  const started = await startControls()
  started.setSeeds(RELAYS)
  await Promise.all([...DISKS, ...RELAYS].map(started.stop))
  await Promise.all([
    ...DISKS.map(async (index) => await started.start(index, { hasDisk: true })),
    ...RELAYS.map(async (index) => await started.start(index, { hasDisk: false })),
  ])
  await untilRelaysNameLeader(started)
})

// Guards against the loss of the acknowledged configuration: successors of lost control nodes never joined through seeds without a disk.
test('successors of control nodes join through seeds without a disk, and the configuration outlives the first disks', async () => {
  const started = await startControls()
  const relay = await started.start(DISKS.length + RELAYS.length + SUCCESSORS.length, { hasDisk: false })
  await relay.submitRoutes(ROUTES)
  started.setSeeds(RELAYS)
  for (const [i, successor] of SUCCESSORS.entries()) {
    await started.stop(DISKS[i])
    await started.start(successor, { hasDisk: true })
    const remaining = [...DISKS.slice(i + 1), ...SUCCESSORS.slice(0, i + 1)].map((index) => started.addressOf(index).host)
    await expect.poll(async () => [...await votersOf(started.addressOf(DISKS[2]))].sort(), { timeout: REPLACEMENT_MS }).toEqual(remaining)
  }
  await expect.poll(async () => await relay.readRoutes().then((routes) => routes?.table.version, () => 'none'), { timeout: CATCH_UP_MS }).toBe(7)
})

// Guards against a successor that knows only seeds of one moment: they change while it starts, and restart one by one.
test('a successor joins while the seeds go to daemons without a disk and back, and those restart one by one', async () => {
  const started = await startControls()
  await started.stop(DISKS[0])
  const starting = started.start(SUCCESSORS[0], { hasDisk: true })
  started.setSeeds(RELAYS)
  await starting
  for (const relay of RELAYS) {
    await started.stop(relay)
    await started.start(relay, { hasDisk: false })
  }
  const remaining = [...DISKS.slice(1), SUCCESSORS[0]].map((index) => started.addressOf(index).host)
  await expect.poll(async () => [...await votersOf(started.addressOf(DISKS[2]))].sort(), { timeout: REPLACEMENT_MS }).toEqual(remaining)
  started.setSeeds([DISKS[1], DISKS[2], SUCCESSORS[0]])
  await Promise.all(RELAYS.map(started.stop))
  await Promise.all(RELAYS.map(async (index) => await started.start(index, { hasDisk: false })))
  await untilRelaysNameLeader(started)
})

const LEADER: Address = { host: '127.0.0.1', port: 1 }
const OTHER: Address = { host: '127.0.0.1', port: 2 }
const noticeOf = (leader: Address, change: Partial<LeaderResponse> = {}): LeaderResponse => {
  return { leader, controls: [LEADER, OTHER], term: 3, ...change }
}

/** Creates the directory of a daemon without a disk, on a clock that the test sets. */
function createDirectory (clock: { readonly ms: number }, seeds: readonly Address[] = []): ControlDirectory {
  const directory = createControlDirectory({
    self: { host: '127.0.0.1', port: 3 },
    seeds: () => seeds,
    members: () => [],
    ownNotice: () => undefined,
    isVoter: () => false,
    metrics: createMetrics(),
    now: () => clock.ms,
  })
  directories.push(directory)
  return directory
}

// Guards against a leader that is named after it is gone: daemons that ask each other would keep its address alive among them.
test('the notice of a member expires at the same time at all daemons that passed it on', () => {
  const clock = { ms: 0 }
  const [first, second] = [createDirectory(clock), createDirectory(clock)]
  first.learn(noticeOf(LEADER))
  for (clock.ms = 0; clock.ms < 2 * MAX_NOTICE_AGE_MS; clock.ms += 100) {
    second.learn(first.current())
    first.learn(second.current())
    const expected = clock.ms < MAX_NOTICE_AGE_MS ? LEADER : null
    expect([first.current().leader, second.current().leader]).toEqual([expected, expected])
  }
})

// Guards against a replaced leader that outranks its successor, named by a member that has not heard of the change.
test('a notice of an earlier term does not replace one of a later term, however recent it is', () => {
  const clock = { ms: 0 }
  const directory = createDirectory(clock)
  directory.learn(noticeOf(OTHER, { term: 4, ageMs: 500 }))
  directory.learn(noticeOf(LEADER, { term: 3 }))
  expect(formatAddress(directory.current().leader ?? LEADER)).toBe(formatAddress(OTHER))
  clock.ms = MAX_NOTICE_AGE_MS
  directory.learn(noticeOf(LEADER, { term: 3 }))
  expect(directory.current()).toMatchObject({ leader: LEADER, ageMs: 0 })
})

// Guards against addresses that outlive their machines: members that a later notice no longer names are not searched.
test('a later notice replaces the members of the earlier one', () => {
  const directory = createDirectory({ ms: 0 })
  directory.learn(noticeOf(LEADER))
  directory.learn(noticeOf(OTHER, { controls: [OTHER], term: 4 }))
  expect(directory.contacts()).toEqual([OTHER])
})

// Guards against a valid configuration that is refused for good, since the process at a reused address answers in another form.
test('an answer to a search that has another form names no leader', async () => {
  const answers = [{ leader: LEADER }, { leader: { host: '', port: -1 }, controls: [] }, { leader: LEADER, controls: 'none' }]
  for (const answer of answers) {
    const handlers = { 'control.leader': () => answer }
    const server = await createRpcServer({ listen: { host: '127.0.0.1', port: 0 }, handlers })
    const directory = createDirectory({ ms: 0 }, [server.address])
    expect(await directory.findLeader(undefined)).toBeNull()
    expect(directory.current().leader).toBeNull()
    await server.close()
  }
})
