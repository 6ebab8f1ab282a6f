import fs from 'node:fs'
import net from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterAll, beforeAll, expect, test } from 'vitest'
import { connectCaller, type DaemonProcess, startSystem, type System } from '@briarpick/harness'

let system: System

beforeAll(async () => {
  system = await startSystem()
  const caller = await connectCaller(system.proxies[0], 'ledger')
  await caller.query('CREATE TABLE ride (id int PRIMARY KEY, note text)')
  await caller.end()
})

afterAll(async () => {
  await system.close()
})

test('many callers that pipeline requests over few target connections each get their own complete answers in order', async () => {
  const callers = await Promise.all(Array.from({ length: 30 }, (_, i) => connectCaller(system.proxies[i % 3], 'ledger')))
  await Promise.all(callers.map(async (caller, i) => {
    const marks = Array.from({ length: 20 }, (_, j) => `caller-${i}-${j}-${'x'.repeat((i * 37 + j * 101) % 3000)}`)
    const answers = await Promise.all(marks.map((mark) => caller.query('SELECT $1::text AS mark', [mark])))
    expect(answers.map(({ rows }) => rows[0].mark)).toEqual(marks)
  }))
  await Promise.all(callers.map((caller) => caller.end()))
})

test('simple queries, named statements, errors and multi-statement queries behave as on the target', async () => {
  const caller = await connectCaller(system.proxies[1], 'ledger')
  await caller.query('INSERT INTO ride VALUES (1, \'a\'); INSERT INTO ride VALUES (2, \'b\')')
  for (const id of [1, 2, 1]) {
    const { rows } = await caller.query({ name: 'by-id', text: 'SELECT note FROM ride WHERE id = $1', values: [id] })
    expect(rows).toEqual([{ note: id === 1 ? 'a' : 'b' }])
  }
  await expect(caller.query('INSERT INTO ride VALUES (1, \'again\')')).rejects.toMatchObject({ code: '23505' })
  await expect(caller.query('SELEC 1')).rejects.toMatchObject({ code: '42601' })
  await expect(caller.query('COPY ride FROM STDIN')).rejects.toMatchObject({ code: '0A000', hint: expect.stringContaining('directly') })
  expect((await caller.query('')).rows).toEqual([])
  expect((await caller.query('SELECT count(*) FROM ride')).rows).toEqual([{ count: '2' }])
  await caller.end()
})

test('transactions of two callers are isolated, and one left open by a disconnecting caller is rolled back', async () => {
  const [first, second] = await Promise.all([connectCaller(system.proxies[0], 'ledger'), connectCaller(system.proxies[0], 'ledger')])
  await first.query('BEGIN')
  await second.query('BEGIN')
  await first.query('INSERT INTO ride VALUES (10, \'first\')')
  await second.query('INSERT INTO ride VALUES (11, \'second\')')
  expect((await second.query('SELECT id FROM ride WHERE id = 10')).rows).toEqual([])
  await second.query('ROLLBACK')
  await first.query('COMMIT')
  const third = await connectCaller(system.proxies[2], 'ledger')
  await third.query('BEGIN')
  await third.query('INSERT INTO ride VALUES (12, \'left\')')
  third.end().catch(() => {})
  await sleep(200)
  const { rows } = await second.query('SELECT id FROM ride WHERE id >= 10 ORDER BY id')
  expect(rows).toEqual([{ id: 10 }])
  await Promise.all([first.end(), second.end()])
})

test('a transaction that is open when its proxy is killed is rolled back', async () => {
  const entry = system.proxies[2]
  const caller = await connectCaller(entry, 'ledger')
  await caller.query('BEGIN')
  await caller.query('INSERT INTO ride VALUES (20, \'half\')')
  await system.restartDaemon(entry)
  const other = await connectCaller(system.proxies[0], 'ledger')
  await expect.poll(async () => await other.query('INSERT INTO ride VALUES (20, \'whole\')').then(() => true, () => false), { timeout: 10_000 }).toBe(true)
  expect((await other.query('SELECT note FROM ride WHERE id = 20')).rows).toEqual([{ note: 'whole' }])
  await other.end()
})

test.each([0, 1, 2])('a cancel request through proxy %i cancels the statement and leaves the connection usable', async (index) => {
  const caller = await connectCaller(system.proxies[0], 'ledger')
  const { processID, secretKey } = caller as unknown as { readonly processID: number, readonly secretKey: number }
  const running = caller.query('SELECT pg_sleep(20)').then(() => 'ended', (err) => err.code)
  await sleep(150)
  await sendCancel(system.proxies[index], processID, secretKey)
  expect(await running).toBe('57014')
  expect((await caller.query('SELECT 7 AS n')).rows).toEqual([{ n: 7 }])
  await caller.end()
})

function sendCancel (proxy: DaemonProcess, processId: number, secret: number): Promise<void> {
  const request = Buffer.alloc(16)
  request.writeInt32BE(16, 0)
  request.writeInt32BE(80877102, 4)
  request.writeInt32BE(processId, 8)
  request.writeInt32BE(secret, 12)
  return new Promise((resolve) => {
    const socket = net.connect(proxy.callers.port, proxy.callers.host, () => socket.end(request))
    socket.on('close', () => resolve())
  })
}

test('a request whose deadline cannot be met is rejected with a retry delay', async () => {
  const caller = await connectCaller(system.proxies[0], 'ledger')
  const sleepingCallers = await Promise.all(Array.from({ length: 6 }, () => connectCaller(system.proxies[1], 'ledger')))
  const sleeping = sleepingCallers.map((sleeper) => sleeper.query('SELECT pg_sleep(1.5)'))
  await sleep(200)
  await expect(caller.query('SELECT 1 /*briarpick_deadline=\'100ms\'*/')).rejects.toMatchObject({
    code: '53000', detail: expect.stringMatching(/outcome=refused retry_after_ms=\d+/),
  })
  await Promise.all(sleeping)
  await Promise.all([...sleepingCallers, caller].map((client) => client.end()))
})

test('a request with a deadline gets an error while its target does not respond', async () => {
  const view = await system.view('ledger')
  const caller = await connectCaller(system.proxies[0], 'ledger')
  for (const { instance } of view.members) system.target(instance).process.kill('SIGSTOP')
  const write = caller.query('INSERT INTO ride VALUES (900, \'x\') /*briarpick_deadline=\'600ms\'*/')
  await expect(write).rejects.toMatchObject({ detail: expect.stringMatching(/outcome=(unknown|refused)/) })
  const read = caller.query('SELECT 1 /*briarpick_deadline=\'300ms\',briarpick_max_age=\'60s\'*/')
  await expect(read).rejects.toMatchObject({ detail: expect.stringContaining('code=ERR_BRIARPICK_') })
  for (const { instance } of view.members) system.target(instance).process.kill('SIGCONT')
  await expect.poll(async () => await caller.query('SELECT 7 AS n').then(({ rows }) => rows, () => []), { timeout: 15_000 }).toEqual([{ n: 7 }])
  await caller.end()
})

test('an unknown database and a statement that would change connection state are rejected with a hint', async () => {
  const caller = await connectCaller(system.proxies[0], 'nowhere')
  await expect(caller.query('SELECT 1')).rejects.toMatchObject({ code: '3D000', hint: expect.stringContaining('announce') })
  await caller.end()
  const other = await connectCaller(system.proxies[0], 'ledger')
  await expect(other.query('SET search_path = x')).rejects.toMatchObject({ code: '0A000', hint: expect.stringContaining('SET LOCAL') })
  await other.query('SET briarpick.max_age = \'2s\'')
  await expect(other.query('SET briarpick.max_age = \'soon\'')).rejects.toMatchObject({ hint: expect.stringContaining('briarpick') })
  await other.end()
})

test('a caller that stops reading does not make the proxy\'s memory grow without bound', async () => {
  const caller = await connectCaller(system.proxies[0], 'ledger')
  const raw = (caller as unknown as { readonly connection: { readonly stream: net.Socket } }).connection.stream
  raw.removeAllListeners('data')
  raw.pause()
  for (let i = 0; i < 60; i++) caller.query('SELECT repeat(\'x\', 2000000)').catch(() => {})
  await sleep(2500)
  const status = fs.readFileSync(`/proc/${system.proxies[0].process.pid}/status`, 'utf8')
  const residentKiB = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1])
  expect(residentKiB).toBeLessThan(250 * 1024)
  raw.destroy()
})
