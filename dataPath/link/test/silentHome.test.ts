import net, { type AddressInfo, type Socket } from 'node:net'
import { afterEach, expect, test } from 'vitest'
import { type StatementRequest, statementFailure } from '@briarpick/types'
import { createStatementLink, type StatementLink, type StatementLinkMessage } from '../src/index.js'
import { READ } from './readRequest.js'
import { createStatementLinkSocket } from '../src/createStatementLinkSocket.js'

const WRITE: StatementRequest = { ...READ, id: 'w', action: { kind: 'query', access: 'write', text: 'WRITE a b' } }
const ANSWER = { reply: statementFailure('busy', 'overloaded'), state: 'idle' } as const

let cleanUp: Array<() => void> = []
afterEach(() => {
  for (const close of cleanUp.splice(0)) close()
  cleanUp = []
})

/** A home that answers only while it is awake; what arrives meanwhile is answered once it wakes. */
async function startHome () {
  const held: Array<() => void> = []
  let isAwake = true
  let received = 0
  const server = net.createServer((socket: Socket) => {
    const respond = (message: StatementLinkMessage) => {
      if (message.kind === 'ping') link.send({ kind: 'pong' })
      if (message.kind === 'run') link.send({ kind: 'outcome', number: message.number, outcome: ANSWER })
    }
    const link = createStatementLinkSocket(socket, (message) => {
      if (message.kind === 'run') received += 1
      if (isAwake) respond(message)
      else held.push(() => respond(message))
    })
    cleanUp.push(() => socket.destroy())
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const link: StatementLink = createStatementLink({ address: { host: '127.0.0.1', port: (server.address() as AddressInfo).port } })
  cleanUp.push(() => {
    link.close()
    server.close()
  })
  return {
    link,
    received: () => received,
    sleep () { isAwake = false },
    wake () {
      isAwake = true
      for (const respond of held.splice(0)) respond()
    },
  }
}

test('on a home that falls silent, a read is given up before the link is, and nothing more is sent until it answers', async () => {
  const home = await startHome()
  expect(await home.link.run(READ)).toMatchObject({ kind: 'outcome' })
  expect(home.link.unresponsiveMs()).toBe(0)
  home.sleep()
  const settled: string[] = []
  const write = home.link.run(WRITE).then(({ kind }) => settled.push(`write ${kind}`))
  await home.link.run(READ).then(({ kind }) => settled.push(`read ${kind}`))
  expect(settled).toEqual(['read lost'])
  expect(home.link.unresponsiveMs()).toBeGreaterThan(0)
  expect(await home.link.run(READ)).toEqual({ kind: 'notSent' })
  expect(await home.link.run(WRITE)).toEqual({ kind: 'notSent' })
  expect(home.received()).toBe(3)
  home.wake()
  await write
  expect(settled).toEqual(['read lost', 'write outcome'])
  expect(home.link.unresponsiveMs()).toBe(0)
  expect(await home.link.run(READ)).toMatchObject({ kind: 'outcome' })
})

test('a write sent to a home that stays silent ends as lost, and later requests are not sent', async () => {
  const home = await startHome()
  await home.link.run(READ)
  home.sleep()
  expect(await home.link.run(WRITE)).toEqual({ kind: 'lost' })
  expect(home.link.unresponsiveMs()).toBeGreaterThan(0)
})

test('a silence of long ago does not keep requests from a home that listens at the same address later', async () => {
  const home = await startHome()
  await home.link.run(READ)
  home.sleep()
  expect(await home.link.run(WRITE)).toEqual({ kind: 'lost' })
  home.wake()
  await new Promise((resolve) => setTimeout(resolve, 1100))
  const results = await Promise.all([home.link.run(READ), home.link.run(READ)])
  expect(results.map(({ kind }) => kind)).toEqual(['outcome', 'outcome'])
})
