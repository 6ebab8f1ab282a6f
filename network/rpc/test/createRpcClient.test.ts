import net from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { expect, test } from 'vitest'
import { createRpcClient, createRpcServer } from '../src/index.js'

const LOOPBACK = { host: '127.0.0.1', port: 0 }

test('an aborted connection attempt fails at once, and the next request starts a new one', async () => {
  const server = await createRpcServer({ listen: LOOPBACK, handlers: { hello: () => 'yes' } })
  const client = createRpcClient({ address: server.address, connectTimeoutMs: 60_000 })
  const response = client.request('hello', {}, { timeoutMs: 60_000 })
  client.abortConnect()
  await expect(response).rejects.toMatchObject({ code: 'ERR_BRIARPICK_RPC' })
  expect(await client.request('hello', {}, { timeoutMs: 5000 })).toBe('yes')
  client.close()
  await server.close()
})

test('a late event of an aborted connection attempt does not discard the current connection', async () => {
  let connections = 0
  const server = net.createServer((socket) => {
    connections += 1
    socket.on('error', () => {})
  })
  await new Promise<void>((resolve) => server.listen(LOOPBACK, resolve))
  const { port } = server.address() as net.AddressInfo
  const client = createRpcClient({ address: { host: LOOPBACK.host, port } })
  const abortedRequest = client.request('hello', {}, { timeoutMs: 5000 }).catch(() => {})
  client.abortConnect()
  await abortedRequest
  for (let i = 0; i < 10; i += 1) {
    client.notify('hello', {})
    await sleep(10)
  }
  // The aborted attempt may have connected as well.
  expect(connections).toBeLessThanOrEqual(2)
  client.close()
  server.close()
})

test('aborting the connection attempt leaves an open connection alone', async () => {
  const server = await createRpcServer({ listen: LOOPBACK, handlers: { hello: () => 'yes' } })
  const client = createRpcClient({ address: server.address })
  expect(await client.request('hello', {}, { timeoutMs: 5000 })).toBe('yes')
  const response = client.request('hello', {}, { timeoutMs: 5000 })
  client.abortConnect()
  expect(await response).toBe('yes')
  client.close()
  await server.close()
})

test('each connection attempt has a timeout of its own', async () => {
  const server = net.createServer()
  await new Promise<void>((resolve) => server.listen(LOOPBACK, resolve))
  const { port } = server.address() as net.AddressInfo
  await new Promise((resolve) => server.close(resolve))
  const timeouts = [60, 90]
  const client = createRpcClient({ address: { host: LOOPBACK.host, port }, connectTimeoutMs: () => timeouts.shift() ?? 0 })
  await expect(client.request('hello', {}, { timeoutMs: 5000 })).rejects.toMatchObject({ code: 'ERR_BRIARPICK_RPC' })
  expect(timeouts).toEqual([90])
  await expect(client.request('hello', {}, { timeoutMs: 5000 })).rejects.toMatchObject({ code: 'ERR_BRIARPICK_RPC' })
  expect(timeouts).toEqual([])
  client.close()
})
