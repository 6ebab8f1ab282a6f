import net from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { expect, test } from 'vitest'
import { createRpcClient, createRpcServer } from '../src/index.js'

const LOOPBACK = { host: '127.0.0.1', port: 0 }

test('an attempt to connect that is given up fails at once, and the next request starts another', async () => {
  const server = await createRpcServer({ listen: LOOPBACK, handlers: { hello: () => 'yes' } })
  const client = createRpcClient({ address: server.address, connectTimeoutMs: 60_000 })
  const asked = client.request('hello', {}, { timeoutMs: 60_000 })
  client.abortConnect()
  await expect(asked).rejects.toMatchObject({ code: 'ERR_BRIARPICK_RPC' })
  expect(await client.request('hello', {}, { timeoutMs: 5000 })).toBe('yes')
  client.close()
  await server.close()
})

test('what an earlier attempt still tells does not end a later one', async () => {
  let connections = 0
  const server = net.createServer((socket) => {
    connections += 1
    socket.on('error', () => {})
  })
  await new Promise<void>((resolve) => server.listen(LOOPBACK, resolve))
  const { port } = server.address() as net.AddressInfo
  const client = createRpcClient({ address: { host: LOOPBACK.host, port } })
  const early = client.request('hello', {}, { timeoutMs: 5000 }).catch(() => {})
  client.abortConnect()
  await early
  for (let i = 0; i < 10; i += 1) {
    client.notify('hello', {})
    await sleep(10)
  }
  // The attempt that was given up may have come through as well.
  expect(connections).toBeLessThanOrEqual(2)
  client.close()
  server.close()
})

test('a connection that stands is not given up', async () => {
  const server = await createRpcServer({ listen: LOOPBACK, handlers: { hello: () => 'yes' } })
  const client = createRpcClient({ address: server.address })
  expect(await client.request('hello', {}, { timeoutMs: 5000 })).toBe('yes')
  const asked = client.request('hello', {}, { timeoutMs: 5000 })
  client.abortConnect()
  expect(await asked).toBe('yes')
  client.close()
  await server.close()
})
