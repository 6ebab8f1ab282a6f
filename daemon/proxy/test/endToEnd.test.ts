import { afterAll, beforeAll, expect, test } from 'vitest'
import { connectCaller, startSystem, type System } from '@briarpick/harness'

let system: System

beforeAll(async () => {
  system = await startSystem()
})

afterAll(async () => {
  await system.close()
})

test('a session reads its own write through another proxy', async () => {
  const first = await connectCaller(system.proxies[0], 'ledger')
  const second = await connectCaller(system.proxies[1], 'ledger')
  await first.query('CREATE TABLE contract (id int PRIMARY KEY, rent int)')
  await first.query('INSERT INTO contract VALUES ($1, $2)', [1, 900])
  const result = await second.query('SELECT rent FROM contract WHERE id = $1', [1])
  expect(result.rows).toEqual([{ rent: 900 }])
  await first.end()
  await second.end()
})

test('a write runs on the promoted replica after the primary was killed', async () => {
  const caller = await connectCaller(system.proxies[0], 'ledger')
  const before = await system.view('ledger')
  system.target(before.primary ?? '').process.kill('SIGKILL')
  await system.waitForStatus('the next term is open', ({ views }) => views[0].state === 'open' && views[0].term > before.term)
  await caller.query('INSERT INTO contract VALUES ($1, $2)', [2, 950])
  const result = await caller.query('SELECT id FROM contract ORDER BY id')
  expect(result.rows.map((row) => row.id)).toEqual([1, 2])
  const after = await system.view('ledger')
  expect(before.inSync).toContain(after.primary)
  await caller.end()
})

test('a signed bundle is applied by every proxy', async () => {
  const verdict = await system.submitBundle('version = 1\n')
  expect(verdict.kind).toBe('accepted')
  await system.waitForStatus('every proxy reports version 1', ({ proxies }) => proxies.every((proxy) => proxy.bundleVersion === 1))
})
