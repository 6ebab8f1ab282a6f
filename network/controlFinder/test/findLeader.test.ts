import net from 'node:net'
import { expect, test } from 'vitest'
import { createRpcServer } from '@briarpick/rpc'
import { createLeaderResponder, findLeader, type LeaderResponse } from '../src/index.js'

const LOOPBACK = { host: '127.0.0.1', port: 0 }
const LEADER = { host: '127.0.0.1', port: 9 }

async function startNode (respond: () => LeaderResponse) {
  return await createRpcServer({ listen: LOOPBACK, handlers: { 'control.leader': respond } })
}

/** Starts a server that accepts connections and never responds. */
async function startSilentNode () {
  const server = net.createServer(() => {})
  await new Promise<void>((resolve) => server.listen(LOOPBACK, resolve))
  const address = { host: LOOPBACK.host, port: (server.address() as net.AddressInfo).port }
  return { address, close: () => server.close() }
}

test('an unresponsive node does not delay the search: the first node that names the leader decides', async () => {
  const silent = await startSilentNode()
  const responsive = await startNode(() => ({ leader: LEADER, controls: [LEADER] }))
  const startedAt = performance.now()
  const found = await findLeader({ nodes: [silent.address, responsive.address], timeoutMs: 5000 })
  expect(found?.leader).toEqual(LEADER)
  expect(performance.now() - startedAt).toBeLessThan(4000)
  silent.close()
  await responsive.close()
})

test('nodes are queried again during an election until one names a leader', async () => {
  let requests = 0
  const node = await startNode(() => {
    requests += 1
    return { leader: requests < 3 ? null : LEADER, controls: [] }
  })
  expect((await findLeader({ nodes: [node.address], timeoutMs: 5000 }))?.leader).toEqual(LEADER)
  await node.close()
})

test('a response that names the failed leader is ignored if it comes from another node', async () => {
  const stale = await startNode(() => ({ leader: LEADER, controls: [] }))
  const newLeader = { host: '127.0.0.1', port: 10 }
  const upToDate = await startNode(() => ({ leader: newLeader, controls: [] }))
  const nodes = [stale.address, upToDate.address]
  expect((await findLeader({ nodes, failed: LEADER, timeoutMs: 5000 }))?.leader).toEqual(newLeader)
  await stale.close()
  await upToDate.close()
})

test('a leader that failed before is accepted if it names itself', async () => {
  let leader = LEADER
  const node = await startNode(() => ({ leader, controls: [] }))
  leader = node.address
  expect((await findLeader({ nodes: [node.address], failed: leader, timeoutMs: 5000 }))?.leader).toEqual(leader)
  await node.close()
})

test('the search ends without a leader if no node is reachable or none is known', async () => {
  expect(await findLeader({ nodes: [LEADER], timeoutMs: 100 })).toBeUndefined()
  expect(await findLeader({ nodes: [], timeoutMs: 100 })).toBeUndefined()
})

/** Starts a node that long polls. The test sets the leader that it knows; the node counts its requests. */
async function startLongPollNode (self: { host: string, port: number }) {
  const state = { leader: null as LeaderResponse['leader'], requestCount: 0 }
  const { respond } = createLeaderResponder({ self, current: () => ({ leader: state.leader, controls: [] }) })
  const server = await createRpcServer({
    listen: LOOPBACK,
    handlers: {
      'control.leader': (req: Parameters<typeof respond>[0]) => {
        state.requestCount += 1
        return respond(req)
      },
    },
  })
  return { state, address: server.address, close: () => server.close() }
}

test('during an election of one second a node gets few requests per client, and a client learns of the new leader within 500 ms', async () => {
  const node = await startLongPollNode(LEADER)
  let leaderSetAt = 0
  setTimeout(() => {
    node.state.leader = LEADER
    leaderSetAt = performance.now()
  }, 1000)
  expect((await findLeader({ nodes: [node.address], timeoutMs: 8000 }))?.leader).toEqual(LEADER)
  expect(performance.now() - leaderSetAt).toBeLessThan(500)
  expect(node.state.requestCount).toBeLessThanOrEqual(6)
  await node.close()
})

test('a node that still follows the failed leader holds the request until it follows another', async () => {
  const node = await startLongPollNode({ host: '127.0.0.1', port: 11 })
  node.state.leader = LEADER
  const newLeader = { host: '127.0.0.1', port: 10 }
  setTimeout(() => { node.state.leader = newLeader }, 200)
  expect((await findLeader({ nodes: [node.address], failed: LEADER, timeoutMs: 8000 }))?.leader).toEqual(newLeader)
  expect(node.state.requestCount).toBeLessThanOrEqual(3)
  await node.close()
})

test('a request gets a response without a leader once its wait time has passed', async () => {
  const { respond } = createLeaderResponder({ self: LEADER, current: () => ({ leader: null, controls: [] }) })
  expect(await respond({ waitMs: 50 })).toEqual({ leader: null, controls: [] })
  expect(await respond({})).toEqual({ leader: null, controls: [] })
})
