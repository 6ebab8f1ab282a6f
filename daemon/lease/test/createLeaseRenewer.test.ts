import { expect, test, vi } from 'vitest'
import { type Address, type RenewRequest } from '@briarpick/types'
import { createLeaderAnswers, type LeaderRequest } from '@briarpick/control-finder'
import { createMetrics } from '@briarpick/metrics'
import { createRpcServer } from '@briarpick/rpc'
import { createLeaseRenewer } from '../src/index.js'

const LOOPBACK = { host: '127.0.0.1', port: 0 }
const REQUEST = { proxy: 'p', incarnation: 'i' } as RenewRequest
const GRANT = { kind: 'granted', leaseMs: 60_000, views: [], index: 0, more: false, bundle: null, routes: null, witness: [], release: [] }

/** A control node that a test tells whom it follows; it leads while it follows itself. */
async function controlNode () {
  const state = { follows: null as Address | null, renewals: 0, answers: true }
  const server = await createRpcServer({
    listen: LOOPBACK,
    handlers: {
      'control.leader': (req: LeaderRequest) => leaderAnswers.answer(req),
      'control.renew': () => {
        state.renewals += 1
        return state.answers ? GRANT : new Promise(() => {})
      },
    },
  })
  const { address } = server
  const leaderAnswers = createLeaderAnswers({ self: address, current: () => ({ leader: state.follows, controls: [] }) })
  return { state, address, close: () => server.close() }
}

test('a proxy that starts asks who leads first, and tries no node that knows nobody', async () => {
  const [first, second] = [await controlNode(), await controlNode()]
  first.state.answers = false
  const keeper = createLeaseRenewer({
    control: () => [first.address, second.address], metrics: createMetrics(), request: () => REQUEST, onGranted: () => {},
  })
  second.state.follows = second.address
  await vi.waitFor(() => expect(keeper.isValid()).toBe(true), { timeout: 10_000 })
  expect(first.state.renewals).toBe(0)
  await keeper.close()
  await Promise.all([first.close(), second.close()])
})

test('after a leader went silent, the next one is found though others still follow the old one for a while', async () => {
  const [old, behind, next] = [await controlNode(), await controlNode(), await controlNode()]
  for (const node of [old, behind, next]) node.state.follows = old.address
  const grants: number[] = []
  const keeper = createLeaseRenewer({
    control: () => [old.address, behind.address, next.address],
    metrics: createMetrics(),
    request: () => REQUEST,
    onGranted: () => grants.push(next.state.renewals),
  })
  await vi.waitFor(() => expect(grants.length).toBeGreaterThan(0), { timeout: 10_000 })
  old.state.answers = false
  old.state.follows = null
  setTimeout(() => { next.state.follows = next.address }, 300)
  await vi.waitFor(() => expect(grants.at(-1)).toBeGreaterThan(0), { timeout: 10_000 })
  expect(behind.state.renewals).toBe(0)
  await keeper.close()
  await Promise.all([old, behind, next].map(async (node) => { await node.close() }))
})
