import { setTimeout as sleep } from 'node:timers/promises'
import { afterAll, beforeAll, expect, test } from 'vitest'
import { connectCaller, type DaemonProcess, startSystem, type System } from '@briarpick/harness'

let system: System

beforeAll(async () => {
  system = await startSystem({ proxies: 4, standIn: { lagMs: 40 } })
  const caller = await connectCaller(system.proxies[0], 'ledger')
  await caller.query('CREATE TABLE filing (id text, note text)')
  await caller.end()
})

afterAll(async () => {
  await system.close()
})

async function insertWithKey (proxy: DaemonProcess, id: string, text = 'INSERT INTO filing VALUES ($1, \'x\') RETURNING id'): Promise<readonly unknown[]> {
  const caller = await connectCaller(proxy, 'ledger')
  try {
    return (await caller.query(`${text} /*briarpick_key='${id}'*/`, [id])).rows
  } finally {
    caller.end().catch(() => {})
  }
}

async function countRows (id: string): Promise<number> {
  const caller = await connectCaller(system.proxies[1], 'ledger')
  const { rows } = await caller.query('SELECT count(*) FROM filing WHERE id = $1 /*briarpick_current=\'on\'*/', [id])
  await caller.end()
  return Number(rows[0].count)
}

test('a write with a key that is retried through another proxy gets the first answer and runs once', async () => {
  expect(await insertWithKey(system.proxies[0], 'a')).toEqual([{ id: 'a' }])
  expect(await insertWithKey(system.proxies[1], 'a')).toEqual([{ id: 'a' }])
  expect(await countRows('a')).toBe(1)
})

test('the same write with a key sent through all proxies at once runs once', async () => {
  const answers = await Promise.all(system.proxies.map((proxy) => insertWithKey(proxy, 'b')))
  expect(answers).toEqual(system.proxies.map(() => [{ id: 'b' }]))
  expect(await countRows('b')).toBe(1)
})

test('a retry of a write with a long answer gets only the command tag', async () => {
  const note = 'x'.repeat(100_000)
  const text = 'INSERT INTO filing VALUES ($1, $2) RETURNING note /*briarpick_key=\'long\'*/'
  for (const rows of [1, 0]) {
    const caller = await connectCaller(system.proxies[rows], 'ledger')
    const result = await caller.query(text, ['long', note])
    expect([result.command, result.rowCount, result.rows.length]).toEqual(['INSERT', 1, rows])
    await caller.end()
  }
})

test('a key that was used for another request is rejected', async () => {
  await insertWithKey(system.proxies[0], 'c')
  await expect(insertWithKey(system.proxies[1], 'c', 'INSERT INTO filing VALUES ($1, \'other\')')).rejects.toMatchObject({
    code: '23505', detail: expect.stringContaining('outcome=refused'),
  })
  expect(await countRows('c')).toBe(1)
})

test('a failed write has no effect, and its key can be used again', async () => {
  await expect(insertWithKey(system.proxies[0], 'd', 'INSERT INTO filing (id, nothing) VALUES ($1, 1)')).rejects.toMatchObject({ code: '42703' })
  expect(await insertWithKey(system.proxies[0], 'd')).toEqual([{ id: 'd' }])
})

test('a key inside a transaction block is rejected', async () => {
  const caller = await connectCaller(system.proxies[0], 'ledger')
  await caller.query('BEGIN')
  await expect(caller.query('INSERT INTO filing VALUES (\'e\', \'x\') /*briarpick_key=\'e\'*/')).rejects.toMatchObject({ code: '0A000' })
  await caller.query('ROLLBACK')
  await caller.end()
})

test.each(['home', 'primary'] as const)('writes in flight when the %s is killed run once, and retries with the same key report their outcome', async (lost) => {
  const view = await system.view('ledger')
  const homeName = view.home?.proxy.split('#')[0]
  const home = system.proxies.find(({ name }) => name === homeName) as DaemonProcess
  const entries = system.proxies.filter((proxy) => proxy !== home)
  const inFlight = Array.from({ length: 30 }, async (_, i) => {
    await sleep(i * 10)
    const id = `${lost}-${i}`
    for (let attempt = 0; attempt < 30; attempt++) {
      const rows = await insertWithKey(entries[(i + attempt) % entries.length], id).catch(() => undefined)
      if (rows !== undefined) return rows
      await sleep(200)
    }
    throw new Error(`${id} got no outcome in 30 attempts`)
  })
  await sleep(150)
  if (lost === 'home') await system.restartDaemon(home)
  else await system.restartTarget(view.primary ?? '')
  expect(await Promise.all(inFlight)).toEqual(inFlight.map((_, i) => [{ id: `${lost}-${i}` }]))
  for (let i = 0; i < inFlight.length; i++) expect(await countRows(`${lost}-${i}`)).toBe(1)
  await system.waitForStatus('the database is whole', ({ views }) => views[0].state === 'open' && views[0].inSync.length > 0)
})

test('an acknowledged write survives the loss of a second target right after the first was replaced', async () => {
  for (const round of [1, 2, 3]) {
    await insertWithKey(system.proxies[0], `round-${round}`)
    const view = await system.view('ledger')
    await system.restartTarget(view.primary ?? '')
    await system.waitForStatus('the next primary has an in-sync replica', ({ views }) => views[0].term > view.term && views[0].state === 'open' && views[0].inSync.length > 0)
  }
  for (const round of [1, 2, 3]) expect(await countRows(`round-${round}`)).toBe(1)
})
