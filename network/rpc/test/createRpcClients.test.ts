import { setTimeout as sleep } from 'node:timers/promises'
import { expect, test } from 'vitest'
import { createRpcClients, createRpcServer } from '../src/index.js'

const LOOPBACK = { host: '127.0.0.1', port: 0 }

test('the same address always has the same client, and another address another client', () => {
  const clients = createRpcClients()
  const client = clients.get({ host: '127.0.0.1', port: 9 })
  expect(clients.get({ host: '127.0.0.1', port: 9 })).toBe(client)
  expect(clients.get({ host: '127.0.0.1', port: 10 })).not.toBe(client)
  clients.close()
})

test('creating a client closes the clients that were not used for the idle time and keeps those in use', async () => {
  const server = await createRpcServer({ listen: LOOPBACK, handlers: { hello: () => 'yes' } })
  const clients = createRpcClients({ idleMs: 1000 })
  const unused = clients.get({ host: '127.0.0.1', port: 9 })
  for (let i = 0; i < 12; i += 1) {
    expect(await clients.get(server.address).request('hello', {}, { timeoutMs: 1000 })).toBe('yes')
    await sleep(100)
  }
  clients.get({ host: '127.0.0.1', port: 10 })
  expect(clients.size()).toBe(2)
  await expect(unused.request('hello', {}, { timeoutMs: 100 })).rejects.toMatchObject({ code: 'ERR_BRIARPICK_RPC' })
  expect(await clients.get(server.address).request('hello', {}, { timeoutMs: 1000 })).toBe('yes')
  clients.close()
  await server.close()
})
