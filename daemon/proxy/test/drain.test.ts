import { setTimeout as sleep } from 'node:timers/promises'
import { afterAll, beforeAll, expect, test } from 'vitest'
import { startSystem, type System } from '@briarpick/harness'
import { checkWrites, DEFAULT_MIX, readRowCounts, runLoad } from '@briarpick/load'

const LEAVE_LIMIT_MS = 3000
let system: System

beforeAll(async () => {
  system = await startSystem({ proxies: 4 })
})

afterAll(async () => {
  await system.close()
})

const startLoad = (seconds: number, seed: number) => runLoad({
  proxies: system.proxies.map(({ callers }) => callers),
  databases: ['ledger'],
  ratePerSecond: 120,
  seconds,
  seed,
  mix: DEFAULT_MIX,
  sessions: 8,
  maxAgeMs: 1000,
  connectionsPerProxy: 4,
})

async function countStatements (instance: string): Promise<number> {
  return JSON.parse(await system.queryTarget(instance, 'SELECT stand_in_stats()')).statements
}

test.each(['replica', 'primary'] as const)('a %s in state leaving gets no new requests after 3 s, and no request fails', async (role) => {
  const view = await system.view('ledger')
  const instance = role === 'primary' ? view.primary ?? '' : view.members.find((member) => member.instance !== view.primary)?.instance ?? ''
  const running = startLoad(7, role === 'primary' ? 1 : 2)
  await sleep(1500)
  await system.queryTarget(instance, 'SELECT stand_in_set(\'state\', \'leaving\')')
  await sleep(LEAVE_LIMIT_MS)
  const before = await countStatements(instance)
  await sleep(1500)
  expect(await countStatements(instance)).toBe(before)
  const { operations, broken } = await running
  expect(broken).toEqual([])
  expect(operations.filter(({ outcome }) => outcome !== 'done')).toEqual([])
  await system.queryTarget(instance, 'SELECT stand_in_set(\'state\', \'serving\')')
  await system.waitForStatus('all targets are serving', ({ views }) => views[0].members.every(({ state }) => state === 'serving') && views[0].inSync.length > 0)
})

test('a planned stop of every proxy in turn under load, homes included, interrupts no request', async () => {
  const running = startLoad(9, 3)
  for (const proxy of system.proxies) {
    await sleep(800)
    proxy.process.kill('SIGTERM')
    expect(await proxy.process.exited, `exit code of ${proxy.name}`).toBe(0)
    await system.restartDaemon(proxy)
  }
  const { operations, broken } = await running
  expect(broken).toEqual([])
  expect(checkWrites(operations, [await readRowCounts(system.proxies.map(({ callers }) => callers), 'ledger')])).toEqual([])
  const cutOff = operations.filter(({ outcome, code }) => outcome !== 'done' && code !== 'ECONNREFUSED' && code !== '57P01' && code !== 'ERR_BRIARPICK_DRAINING')
  expect(cutOff).toEqual([])
})
