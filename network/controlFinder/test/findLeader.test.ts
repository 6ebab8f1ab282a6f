import net from 'node:net'
import { expect, test } from 'vitest'
import { createRpcServer } from '@briarpick/rpc'
import { createLeaderAnswers, findLeader, type LeaderAnswer } from '../src/index.js'

const LOOPBACK = { host: '127.0.0.1', port: 0 }
const LEADER = { host: '127.0.0.1', port: 9 }

async function nodeThatAnswers (answer: () => LeaderAnswer) {
  return await createRpcServer({ listen: LOOPBACK, handlers: { 'control.leader': answer } })
}

/** Takes connections and never answers. */
async function silentNode () {
  const server = net.createServer(() => {})
  await new Promise<void>((resolve) => server.listen(LOOPBACK, resolve))
  const address = { host: LOOPBACK.host, port: (server.address() as net.AddressInfo).port }
  return { address, close: () => server.close() }
}

test('a silent node holds up nobody: the first node that knows the leader decides', async () => {
  const silent = await silentNode()
  const knowing = await nodeThatAnswers(() => ({ leader: LEADER, controls: [LEADER] }))
  const startedAt = performance.now()
  const found = await findLeader({ nodes: [silent.address, knowing.address], timeoutMs: 5000 })
  expect(found?.leader).toEqual(LEADER)
  expect(performance.now() - startedAt).toBeLessThan(4000)
  silent.close()
  await knowing.close()
})

test('during an election nodes are asked again until one has a leader', async () => {
  let asked = 0
  const node = await nodeThatAnswers(() => {
    asked += 1
    return { leader: asked < 3 ? null : LEADER, controls: [] }
  })
  expect((await findLeader({ nodes: [node.address], timeoutMs: 5000 }))?.leader).toEqual(LEADER)
  await node.close()
})

test('a node that still follows the leader that failed is not believed', async () => {
  const behind = await nodeThatAnswers(() => ({ leader: LEADER, controls: [] }))
  const next = { host: '127.0.0.1', port: 10 }
  const current = await nodeThatAnswers(() => ({ leader: next, controls: [] }))
  const nodes = [behind.address, current.address]
  expect((await findLeader({ nodes, failed: LEADER, timeoutMs: 5000 }))?.leader).toEqual(next)
  await behind.close()
  await current.close()
})

test('a leader that was slow once may still say that it leads', async () => {
  let leader = LEADER
  const node = await nodeThatAnswers(() => ({ leader, controls: [] }))
  leader = node.address
  expect((await findLeader({ nodes: [node.address], failed: leader, timeoutMs: 5000 }))?.leader).toEqual(leader)
  await node.close()
})

test('nobody listening and nobody known: the search ends without a leader', async () => {
  expect(await findLeader({ nodes: [LEADER], timeoutMs: 100 })).toBeUndefined()
  expect(await findLeader({ nodes: [], timeoutMs: 100 })).toBeUndefined()
})

/** A node whose knowledge a test sets; counts the questions that it gets. */
async function nodeThatWaits (self: { host: string, port: number }) {
  const state = { leader: null as LeaderAnswer['leader'], asked: 0 }
  const { answer } = createLeaderAnswers({ self, current: () => ({ leader: state.leader, controls: [] }) })
  const server = await createRpcServer({
    listen: LOOPBACK,
    handlers: {
      'control.leader': (req: Parameters<typeof answer>[0]) => {
        state.asked += 1
        return answer(req)
      },
    },
  })
  return { state, address: server.address, close: () => server.close() }
}

test('an election of a second costs a node a few questions of each asker, and its end is heard at once', async () => {
  const node = await nodeThatWaits(LEADER)
  let electedAt = 0
  setTimeout(() => {
    node.state.leader = LEADER
    electedAt = performance.now()
  }, 1000)
  expect((await findLeader({ nodes: [node.address], timeoutMs: 8000 }))?.leader).toEqual(LEADER)
  expect(performance.now() - electedAt).toBeLessThan(500)
  expect(node.state.asked).toBeLessThanOrEqual(6)
  await node.close()
})

test('a question waits at a node that still follows the leader that failed, until it follows another', async () => {
  const node = await nodeThatWaits({ host: '127.0.0.1', port: 11 })
  node.state.leader = LEADER
  const next = { host: '127.0.0.1', port: 10 }
  setTimeout(() => { node.state.leader = next }, 200)
  expect((await findLeader({ nodes: [node.address], failed: LEADER, timeoutMs: 8000 }))?.leader).toEqual(next)
  expect(node.state.asked).toBeLessThanOrEqual(3)
  await node.close()
})

test('a question that waited in vain is answered without a leader', async () => {
  const { answer } = createLeaderAnswers({ self: LEADER, current: () => ({ leader: null, controls: [] }) })
  expect(await answer({ waitMs: 50 })).toEqual({ leader: null, controls: [] })
  expect(await answer({})).toEqual({ leader: null, controls: [] })
})
