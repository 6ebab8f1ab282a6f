import net from 'node:net'
import fc from 'fast-check'
import { afterAll, beforeAll, expect, test } from 'vitest'
import { connectCaller, startSystem, type System } from '@briarpick/harness'
import { createRpcClient } from '@briarpick/rpc'
import { type Address } from '@briarpick/types'

const RUNS = 60
let system: System

beforeAll(async () => {
  system = await startSystem({ proxies: 2 })
})

afterAll(async () => {
  await system.close()
})

function sendBytes (address: Address, parts: readonly Uint8Array[]): Promise<void> {
  return new Promise((resolve) => {
    const socket = net.connect(address.port, address.host, () => {
      for (const part of parts) socket.write(part)
      setTimeout(() => socket.destroy(), 15)
    })
    socket.on('error', () => {})
    socket.on('data', () => {})
    socket.on('close', () => resolve())
  })
}

function startup (): Buffer {
  const body = Buffer.from('user\0fuzz\0database\0ledger\0\0')
  const head = Buffer.alloc(8)
  head.writeInt32BE(body.length + 8, 0)
  head.writeInt32BE(196608, 4)
  return Buffer.concat([head, body])
}

async function expectServing (): Promise<void> {
  const caller = await connectCaller(system.proxies[0], 'ledger')
  expect((await caller.query('SELECT 1 AS n')).rows).toEqual([{ n: 1 }])
  await caller.end()
  expect(system.proxies.every((proxy) => proxy.process.isRunning())).toBe(true)
  expect(system.controls.every((control) => control.process.isRunning())).toBe(true)
}

const bytesArbitrary = fc.array(fc.uint8Array({ maxLength: 200 }), { maxLength: 4 })

test('the proxy survives random bytes before and after the startup message', async () => {
  await fc.assert(fc.asyncProperty(bytesArbitrary, async (parts) => {
    await sendBytes(system.proxies[0].callers, parts)
    await sendBytes(system.proxies[0].callers, [startup(), ...parts])
  }), { seed: 11, numRuns: RUNS, endOnFailure: true })
  await expectServing()
})

test('the proxy survives known message types with random bodies', async () => {
  const message = fc.tuple(fc.constantFrom(...'QPBEDCSHFdcfpX'), fc.uint8Array({ maxLength: 60 })).map(([type, body]) => {
    const head = Buffer.alloc(5)
    head.write(type)
    head.writeInt32BE(body.length + 4, 1)
    return Buffer.concat([head, body])
  })
  await fc.assert(fc.asyncProperty(fc.array(message, { maxLength: 8 }), async (messages) => {
    await sendBytes(system.proxies[0].callers, [startup(), ...messages])
  }), { seed: 12, numRuns: RUNS, endOnFailure: true })
  await expectServing()
})

test('proxies and control survive random bytes on link and RPC ports', async () => {
  const status = await system.status()
  const link = status.views[0].home?.address as Address
  await fc.assert(fc.asyncProperty(bytesArbitrary, async (parts) => {
    for (const address of [link, system.proxies[0].address, system.controlAddresses[0]]) await sendBytes(address, parts)
  }), { seed: 13, numRuns: RUNS, endOnFailure: true })
  await expectServing()
})

test('RPC calls with arbitrary parameters get a result or an error', async () => {
  const methods = [
    ['control', 'control.renew'], ['control', 'control.join'], ['control', 'agreement.message'], ['control', 'bundle.submit'],
    ['proxy', 'targets.announce'], ['proxy', 'caller.cancel'],
  ] as const
  const clients = {
    control: createRpcClient({ address: system.controlAddresses[0] }),
    proxy: createRpcClient({ address: system.proxies[0].address }),
  }
  await fc.assert(fc.asyncProperty(fc.constantFrom(...methods), fc.jsonValue(), async ([kind, method], params) => {
    await clients[kind].request(method, params, { timeoutMs: 1000 }).catch((err) => expect(err).toHaveProperty('code'))
  }), { seed: 14, numRuns: RUNS * 3, endOnFailure: true })
  clients.control.close()
  clients.proxy.close()
  await expectServing()
})

test('incomplete renewals and malformed consensus messages are rejected and do not change the term of control', async () => {
  const status = await system.status()
  const { id } = status.agreement
  const leader = system.controls.find(({ name }) => id.startsWith(`${name}:`))
  const client = createRpcClient({ address: leader?.address ?? system.controlAddresses[0] })
  const malformed: ReadonlyArray<readonly [string, unknown]> = [
    ['control.renew', { proxy: 'half' }],
    ['control.renew', { proxy: 'half', homes: [{}], witnessed: [], announcements: [] }],
    ['agreement.message', { from: 'x', to: id, message: { kind: 'append', term: 1e9 } }],
    ['agreement.message', { from: 'x', to: id, message: { kind: 'crown' } }],
    ['control.join', { id: 7 }],
  ]
  for (const [method, params] of malformed) {
    await expect(client.request(method, params, { timeoutMs: 1000 })).rejects.toMatchObject({ code: 'ERR_BRIARPICK_USAGE' })
  }
  client.close()
  expect((await system.status()).agreement.term).toBe(status.agreement.term)
  await expectServing()
})

test('announcements with invalid fields are rejected', async () => {
  const client = createRpcClient({ address: system.proxies[0].address })
  const valid = {
    service: 's',
    database: 'other',
    instance: 'i',
    dataCentre: 'x',
    address: { host: '127.0.0.1', port: 1 },
    role: 'replica',
    term: 1,
    position: { term: 1, offset: 0 },
    state: 'serving',
  }
  const addresses = [{ host: 'db.example', port: 1 }, { host: '127.0.0.1', port: 0 }]
  for (const invalid of [{ role: 'king' }, { term: -1 }, { database: '' }, ...addresses.map((address) => ({ address }))]) {
    await expect(client.request('targets.announce', { ...valid, ...invalid }, { timeoutMs: 1000 })).rejects.toMatchObject({ code: 'ERR_BRIARPICK_USAGE' })
  }
  client.close()
})
