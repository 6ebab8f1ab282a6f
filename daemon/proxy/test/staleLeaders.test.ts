import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { type MetricsSnapshot } from '@briarpick/metrics'
import { createRpcClient } from '@briarpick/rpc'
import { connectCaller, type DaemonProcess, startSystem, type System } from '@briarpick/harness'
import { type DatabaseView } from '@briarpick/types'

/** Longer than a lease, an election and the time that a new leader waits for earlier leases to expire, together, in ms. */
const LEASE_EXPIRY_MS = 4500
/** Delay of replicas while a home is paused, in ms: a write is not acknowledged before the pause, and replicated when it ends. */
const HELD_BACK_MS = 4000
const RPC_TIMEOUT_MS = 2000
/** How often a write with an outcome may have run. */
const RUNS_OF_OUTCOME = { done: [1], refused: [0], unknown: [0, 1] }
let system: System

beforeEach(async () => {
  system = await startSystem({ proxies: 4, standIn: { lagMs: 30 } })
  const caller = await connectCaller(system.proxies[0], 'ledger')
  await caller.query('CREATE TABLE contract (id int PRIMARY KEY, rent int)')
  await caller.end()
})

afterEach(async () => {
  await system.close()
})

function homeProxy (view: DatabaseView): DaemonProcess {
  const name = view.home?.proxy.split('#')[0]
  return system.proxies.find((proxy) => proxy.name === name) as DaemonProcess
}

function entryOtherThan (proxy: DaemonProcess): DaemonProcess {
  return system.proxies.find((candidate) => candidate !== proxy) as DaemonProcess
}

async function write (proxy: DaemonProcess, id: number): Promise<'done' | 'refused' | 'unknown'> {
  const caller = await connectCaller(proxy, 'ledger')
  try {
    await caller.query('INSERT INTO contract VALUES ($1, 900)', [id])
    return 'done'
  } catch (err) {
    return String((err as { detail?: string }).detail).includes('outcome=refused') ? 'refused' : 'unknown'
  } finally {
    caller.end().catch(() => {})
  }
}

async function readIds (): Promise<readonly number[]> {
  const view = await system.view('ledger')
  const caller = await connectCaller(entryOtherThan(homeProxy(view)), 'ledger')
  const { rows } = await caller.query('SELECT id FROM contract ORDER BY id /*briarpick_current=\'on\'*/')
  await caller.end()
  return rows.map((row) => row.id)
}

/** Number of writes that a proxy's homes have acknowledged. */
async function acknowledgedWrites (proxy: DaemonProcess): Promise<number> {
  const client = createRpcClient({ address: proxy.address })
  try {
    const { counters } = await client.request<MetricsSnapshot>('metrics.read', {}, { timeoutMs: RPC_TIMEOUT_MS })
    return counters['writes.acknowledged'] ?? 0
  } finally {
    client.close()
  }
}

/** Number of times that the row of an id was written to a target. */
async function countWrites (instance: string, id: number): Promise<number> {
  const records = JSON.parse(await system.queryTarget(instance, 'SELECT stand_in_log(0)')) as ReadonlyArray<{ readonly changes: ReadonlyArray<{ readonly id: string }> }>
  return records.flatMap(({ changes }) => changes).filter((change) => change.id === String(id)).length
}

async function setLag (view: DatabaseView, lagMs: number): Promise<void> {
  for (const { instance } of view.members) await system.queryTarget(instance, `SELECT stand_in_set('lagMs', ${lagMs})`)
}

/** Waits past the lease of a paused home; resolves with the view of the next home. */
async function nextHomeView (before: DatabaseView): Promise<DatabaseView> {
  await sleep(LEASE_EXPIRY_MS)
  const { views: [after] } = await system.waitForStatus('another home', ({ views }) => views[0].homeEpoch > before.homeEpoch)
  expect(after.home?.proxy).not.toBe(before.home?.proxy)
  return after
}

/** Expects the same rows on all targets: the old primary has discarded the writes that only it had. */
async function expectSameRowsEverywhere (): Promise<void> {
  const view = await system.view('ledger')
  const logOf = async (instance: string) => JSON.parse(await system.queryTarget(instance, 'SELECT stand_in_log(0)')).flatMap((record: { changes: unknown }) => record.changes)
  const primary = await logOf(view.primary ?? '')
  await expect.poll(async () => await Promise.all(view.members.map(async ({ instance }) => await logOf(instance))), { timeout: 15_000 })
    .toEqual(view.members.map(() => primary))
}

test('a primary that was paused until a new term began acknowledges nothing when it resumes, and becomes a replica', async () => {
  const before = await system.view('ledger')
  const entry = entryOtherThan(homeProxy(before))
  expect(await write(entry, 1)).toBe('done')
  const old = system.target(before.primary ?? '')
  old.process.kill('SIGSTOP')
  const inFlight = write(entry, 2)
  await system.waitForStatus('the next term is open', ({ views }) => views[0].term > before.term && views[0].state === 'open')
  expect(await inFlight, 'outcome of the write in flight, without waiting for the old primary').toBe('unknown')
  expect(await write(entry, 3)).toBe('done')
  old.process.kill('SIGCONT')
  await expectSameRowsEverywhere()
  expect(await readIds()).toEqual([1, 3])
})

test('an isolated primary is replaced and becomes a replica once it is reachable again', async () => {
  const before = await system.view('ledger')
  const entry = entryOtherThan(homeProxy(before))
  expect(await write(entry, 1)).toBe('done')
  const old = system.target(before.primary ?? '')
  old.faultProxy.set({ cut: true })
  await system.waitForStatus('the next term is open', ({ views }) => views[0].term > before.term && views[0].state === 'open')
  await system.queryTarget(old.instance, 'SELECT group_status()')
  expect(await write(entry, 2)).toBe('done')
  old.faultProxy.set({ cut: false })
  await expectSameRowsEverywhere()
  expect(await readIds()).toEqual([1, 2])
})

test('a home that was paused past its lease with a write in flight acknowledges nothing when it resumes', async () => {
  const before = await system.view('ledger')
  const primary = before.primary ?? ''
  const home = homeProxy(before)
  const entry = entryOtherThan(home)
  await setLag(before, HELD_BACK_MS)
  const acknowledged = await acknowledgedWrites(home)
  const inFlight = write(entry, 1)
  // A write that has not reached its target when the home is paused may run at the next home instead.
  await expect.poll(async () => await countWrites(primary, 1), { timeout: HELD_BACK_MS, interval: 10 }).toBe(1)
  home.process.kill('SIGSTOP')
  await nextHomeView(before)
  await setLag(before, 10)
  expect(await write(entry, 2)).toBe('done')
  home.process.kill('SIGCONT')
  expect(await inFlight).toBe('unknown')
  expect(await acknowledgedWrites(home)).toBe(acknowledged)
  expect(await countWrites(primary, 1)).toBe(1)
  expect(await write(home, 3)).toBe('done')
  expect((await readIds()).filter((id) => id > 1)).toEqual([2, 3])
})

// Guards against a write that runs twice, or is acknowledged by a home without a lease, when it is refused there and sent to the next home.
test('a write that reaches a home after its lease runs once at the next home, and only that one acknowledges it', async () => {
  const before = await system.view('ledger')
  const primary = before.primary ?? ''
  const home = homeProxy(before)
  const entry = entryOtherThan(home)
  const acknowledged = await acknowledgedWrites(home)
  home.process.kill('SIGSTOP')
  const inFlight = write(entry, 1)
  const next = homeProxy(await nextHomeView(before))
  const acknowledgedByNext = await acknowledgedWrites(next)
  expect(await countWrites(primary, 1)).toBe(0)
  home.process.kill('SIGCONT')
  const outcome = await inFlight
  expect(await acknowledgedWrites(home)).toBe(acknowledged)
  expect(await acknowledgedWrites(next)).toBe(acknowledgedByNext + (outcome === 'done' ? 1 : 0))
  expect(RUNS_OF_OUTCOME[outcome]).toContain(await countWrites(primary, 1))
})

test('an isolated control leader decides nothing, and a home partitioned from the new leader stops serving', async () => {
  const leaderName = (await system.status()).agreement.leader?.split(':')[0]
  const leader = system.controls.find(({ name }) => name === leaderName) as DaemonProcess
  const others = system.controls.filter((control) => control !== leader)
  const cuts = [...leader.controlFaultProxies.values(), ...others.flatMap((other) => other.controlFaultProxies.get(leader.name) ?? [])]
  const before = await system.view('ledger')
  const home = homeProxy(before)
  for (const [control, fault] of home.controlFaultProxies) if (control !== leader.name) fault.set({ cut: true })
  for (const fault of cuts) fault.set({ cut: true })
  await sleep(LEASE_EXPIRY_MS)
  const after = await system.waitForStatus('another home under another leader', ({ agreement, views }) =>
    !agreement.leader?.startsWith(`${leader.name}:`) && views[0].home?.proxy !== before.home?.proxy)
  expect(after.views[0].homeEpoch).toBeGreaterThan(before.homeEpoch)
  expect(await write(entryOtherThan(home), 1)).toBe('done')
  expect(await write(home, 2)).not.toBe('unknown')
  for (const fault of [...cuts, ...home.controlFaultProxies.values()]) fault.set({ cut: false })
  await expect.poll(async () => await write(home, 3), { timeout: 15_000 }).toBe('done')
  expect(await readIds()).toEqual(expect.arrayContaining([1, 3]))
})
