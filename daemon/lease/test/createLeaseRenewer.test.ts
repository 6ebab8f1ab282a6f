import { setTimeout as sleep } from 'node:timers/promises'
import { expect, test, vi } from 'vitest'
import { type Address, type RenewRequest } from '@briarpick/types'
import { createLeaderResponder, type LeaderRequest } from '@briarpick/control-finder'
import { createMetrics } from '@briarpick/metrics'
import { createRpcServer } from '@briarpick/rpc'
import { createLeaseRenewer } from '../src/index.js'

const LOOPBACK = { host: '127.0.0.1', port: 0 }
const REQUEST = { proxy: 'p', incarnation: 'i' } as RenewRequest
const GRANT = { kind: 'granted', leaseMs: 60_000, views: [], index: 0, more: false, bundle: null, routes: null, witness: [], release: [] }

/** Starts a control node. The test sets the leader that it names; a node that names itself is the leader. */
async function startControlNode () {
  const state = { knownLeader: null as Address | null, renewals: 0, respondsToRenewals: true, responseDelayMs: 0 }
  const server = await createRpcServer({
    listen: LOOPBACK,
    handlers: {
      'control.leader': (req: LeaderRequest) => leaderResponder.respond(req),
      'control.renew': async () => {
        state.renewals += 1
        await sleep(state.responseDelayMs)
        return state.respondsToRenewals ? GRANT : new Promise(() => {})
      },
    },
  })
  const { address } = server
  const leaderResponder = createLeaderResponder({ self: address, current: () => ({ leader: state.knownLeader, controls: [] }) })
  return { state, address, close: () => server.close() }
}

test('a starting proxy finds the leader first and sends no renewal to a node that knows no leader', async () => {
  const [first, second] = [await startControlNode(), await startControlNode()]
  first.state.respondsToRenewals = false
  const renewer = createLeaseRenewer({
    control: () => [first.address, second.address], metrics: createMetrics(), request: () => REQUEST, onGranted: () => {},
  })
  second.state.knownLeader = second.address
  await vi.waitFor(() => expect(renewer.isValid()).toBe(true), { timeout: 10_000 })
  expect(first.state.renewals).toBe(0)
  await renewer.close()
  await Promise.all([first.close(), second.close()])
})

test('the new leader is found after the old one stops responding, although other nodes still follow the old one for a while', async () => {
  const [oldLeader, stale, newLeader] = [await startControlNode(), await startControlNode(), await startControlNode()]
  for (const node of [oldLeader, stale, newLeader]) node.state.knownLeader = oldLeader.address
  const grants: number[] = []
  const renewer = createLeaseRenewer({
    control: () => [oldLeader.address, stale.address, newLeader.address],
    metrics: createMetrics(),
    request: () => REQUEST,
    onGranted: () => grants.push(newLeader.state.renewals),
  })
  await vi.waitFor(() => expect(grants.length).toBeGreaterThan(0), { timeout: 10_000 })
  oldLeader.state.respondsToRenewals = false
  oldLeader.state.knownLeader = null
  setTimeout(() => { newLeader.state.knownLeader = newLeader.address }, 300)
  await vi.waitFor(() => expect(grants.at(-1)).toBeGreaterThan(0), { timeout: 10_000 })
  expect(stale.state.renewals).toBe(0)
  await renewer.close()
  await Promise.all([oldLeader, stale, newLeader].map(async (node) => { await node.close() }))
})

test('restart of all: a leader that answers all renewals slowly gets one from each proxy, and its late answer is a grant', async () => {
  const leader = await startControlNode()
  leader.state.knownLeader = leader.address
  leader.state.responseDelayMs = 400
  const renewer = createLeaseRenewer({
    control: () => [leader.address], metrics: createMetrics(), request: () => REQUEST, onGranted: () => {},
  })
  await vi.waitFor(() => expect(renewer.isValid()).toBe(true), { timeout: 10_000 })
  expect(leader.state.renewals).toBe(1)
  await renewer.close()
  await leader.close()
})

test('the answer of a leader that was given up is a grant, although its successor was found before it came', async () => {
  const [slow, next] = [await startControlNode(), await startControlNode()]
  slow.state.knownLeader = slow.address
  slow.state.responseDelayMs = 600
  next.state.responseDelayMs = 700
  const renewer = createLeaseRenewer({
    control: () => [slow.address, next.address], metrics: createMetrics(), request: () => REQUEST, onGranted: () => {},
  })
  await vi.waitFor(() => expect(slow.state.renewals).toBe(1), { timeout: 10_000 })
  slow.state.knownLeader = null
  next.state.knownLeader = next.address
  await vi.waitFor(() => expect(renewer.isValid()).toBe(true), { timeout: 10_000 })
  expect(slow.state.renewals).toBe(1)
  await renewer.close()
  await Promise.all([slow.close(), next.close()])
})
