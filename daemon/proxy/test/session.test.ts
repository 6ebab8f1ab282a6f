import { afterAll, beforeAll, expect, test } from 'vitest'
import { connectCaller, startSystem, type System } from '@briarpick/harness'

const LAG_MS = 400
let system: System

beforeAll(async () => {
  system = await startSystem({ standIn: { lagMs: LAG_MS } })
  const caller = await connectCaller(system.proxies[0], 'ledger')
  await caller.query('CREATE TABLE contract (id int PRIMARY KEY, writtenAt int8)')
  await caller.end()
  // The replica that is not in sync lags far behind, so that a read routed to it by mistake misses the write.
  const view = await system.view('ledger')
  const slow = view.members.find(({ instance }) => instance !== view.primary && !view.inSync.includes(instance))
  await system.queryTarget(slow?.instance ?? '', 'SELECT stand_in_set(\'lagMs\', 3000)')
})

afterAll(async () => {
  await system.close()
})

test('an unnamed session reads its write immediately on another connection to another proxy', async () => {
  const [writer, reader] = await Promise.all([connectCaller(system.proxies[0], 'ledger'), connectCaller(system.proxies[1], 'ledger')])
  for (let id = 100; id < 105; id++) {
    await writer.query('INSERT INTO contract VALUES ($1, 0)', [id])
    expect((await reader.query('SELECT id FROM contract WHERE id = $1', [id])).rows).toEqual([{ id }])
  }
  await Promise.all([writer.end(), reader.end()])
})

test('a named session reads its write on all proxies concurrently', async () => {
  const callers = await Promise.all(system.proxies.map((proxy) => connectCaller(proxy, 'ledger', 'notary-7')))
  for (let id = 200; id < 205; id++) {
    await callers[id % 3].query('INSERT INTO contract VALUES ($1, 0)', [id])
    const found = await Promise.all(callers.map((caller) => caller.query('SELECT id FROM contract WHERE id = $1', [id])))
    expect(found.map(({ rows }) => rows)).toEqual(callers.map(() => [{ id }]))
  }
  await Promise.all(callers.map((caller) => caller.end()))
})

test('a token passes the watermark to another proxy', async () => {
  const [writer, reader] = await Promise.all([connectCaller(system.proxies[0], 'ledger'), connectCaller(system.proxies[2], 'ledger')])
  const tokens: string[] = []
  const { connection } = writer as unknown as { readonly connection: NodeJS.EventEmitter }
  connection.on('parameterStatus', ({ parameterName, parameterValue }) => {
    if (parameterName === 'briarpick.token') tokens.push(parameterValue)
  })
  await writer.query('INSERT INTO contract VALUES (300, 0)')
  expect(tokens.at(-1)).toMatch(/^bp1\.\d+\.\d+$/)
  const { rows } = await reader.query(`SELECT id FROM contract WHERE id = 300 /*briarpick_token='${tokens.at(-1)}'*/`)
  expect(rows).toEqual([{ id: 300 }])
  await expect(reader.query('SELECT 1 /*briarpick_token=\'x\'*/')).rejects.toMatchObject({ detail: expect.stringContaining('outcome=refused') })
  await Promise.all([writer.end(), reader.end()])
})

test('a bounded-staleness read is never older than its bound, measured by the commit times of the primary', async () => {
  const [writer, reader] = await Promise.all([connectCaller(system.proxies[0], 'ledger'), connectCaller(system.proxies[1], 'ledger')])
  await writer.query('INSERT INTO contract VALUES (400, $1)', [Date.now()])
  let stop = false
  const writing = (async () => {
    while (!stop) await writer.query('UPDATE contract SET writtenAt = $1 WHERE id = 400', [Date.now()])
  })()
  const primary = (await system.view('ledger')).primary ?? ''
  const reads: Array<{ readonly saw: number, readonly boundary: number }> = []
  for (let i = 0; i < 60; i++) {
    const boundMs = i % 2 === 0 ? 700 : 1500
    const { rows } = await reader.query(`SELECT writtenAt FROM contract WHERE id = 400 /*briarpick_max_age='${boundMs}ms'*/`)
    reads.push({ saw: Number(rows[0].writtenat), boundary: Date.now() - boundMs })
  }
  stop = true
  await writing
  const log = JSON.parse(await system.queryTarget(primary, 'SELECT stand_in_log(0)')) as ReadonlyArray<{
    readonly committedAtMs: number, readonly changes: ReadonlyArray<{ readonly id: string, readonly row: { readonly writtenat: number } }>
  }>
  const versions = log.flatMap(({ committedAtMs, changes }) => changes.filter(({ id }) => id === '400').map(({ row }) => ({ committedAtMs, written: row.writtenat })))
  for (const { saw, boundary } of reads) {
    const oldest = versions.filter(({ committedAtMs }) => committedAtMs <= boundary).at(-1)?.written ?? 0
    expect(saw).toBeGreaterThanOrEqual(oldest)
  }
  await Promise.all([writer.end(), reader.end()])
})

test('a session reads its own write during and after a failover', async () => {
  const view = await system.view('ledger')
  const [writer, reader] = await Promise.all([connectCaller(system.proxies[0], 'ledger', 's9'), connectCaller(system.proxies[1], 'ledger', 's9')])
  await writer.query('INSERT INTO contract VALUES (500, 0)')
  system.target(view.primary ?? '').process.kill('SIGKILL')
  for (let i = 0; i < 40; i++) {
    const rows = await reader.query('SELECT id FROM contract WHERE id = 500').then((result) => result.rows, () => undefined)
    if (rows !== undefined) expect(rows).toEqual([{ id: 500 }])
    await new Promise((resolve) => setTimeout(resolve, 50))
  }
  await system.waitForStatus('the next term is open', ({ views }) => views[0].term > view.term && views[0].state === 'open')
  expect((await reader.query('SELECT id FROM contract WHERE id = 500')).rows).toEqual([{ id: 500 }])
  await Promise.all([writer.end(), reader.end()])
})
