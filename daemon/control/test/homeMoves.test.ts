import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, expect, test } from 'vitest'
import { type ControlCommand, type DatabaseView, type HomeReport, ORIGIN, type RenewRequest } from '@briarpick/types'
import { elapsedMs } from '@briarpick/clock'
import { applyCommand, type ControlState, EMPTY_STATE } from '@briarpick/consensus-state'
import { decidePlatformGroupStep } from '@briarpick/failover'
import { createMetrics } from '@briarpick/metrics'
import { type Peer } from '@briarpick/rpc'
import { type ControlNode } from '../src/createControlNode.js'
import { createLeaderDuties, type LeaderDuties } from '../src/createLeaderDuties.js'

/** Time after which a home and a proxy count as settled, with room for timers that run late, in ms. */
const SETTLED_MS = 900
const PEER: Peer = { request: async () => await new Promise(() => {}), notify: () => {}, close: () => {} }
const address = (vm: string) => ({ host: vm, port: 1 })
const VIEW: DatabaseView = {
  service: 'd',
  database: 'd',
  term: 3,
  state: 'open',
  primary: 'a',
  inSync: [],
  heir: null,
  homeEpoch: 1,
  changedAt: 1,
  members: [],
  home: { proxy: 'vm-1#x', address: address('vm-1'), epoch: 1 },
}
let duties: LeaderDuties | undefined

afterEach(async () => { await duties?.close() })

/** Duties of a leader whose log has one database with its home on vm-1, and the state that they change. */
function startDuties () {
  let state: ControlState = { ...EMPTY_STATE, views: { d: VIEW } }
  let index = 1
  const leaderSince = elapsedMs() - 10_000
  const node = {
    state: () => state,
    appliedIndex: () => index,
    isReady: () => true,
    leaderSince: () => leaderSince,
    leaderAddress: () => null,
    status: () => ({ term: 1 }),
    async propose (command: ControlCommand) {
      index += 1
      state = applyCommand(state, command, index).state
    },
  }
  // Only what the duties use of a node.
  const started = createLeaderDuties({
    node: node as unknown as ControlNode,
    metrics: createMetrics(),
    leaseExpiryMarginMs: 0,
    leaseMs: 5000,
    decideStep: decidePlatformGroupStep,
  })
  duties = started
  const renew = (vm: string, change: Partial<RenewRequest>) => {
    const result = started.renew({
      proxy: `${vm}#x`,
      incarnation: 'x',
      dataCentre: 'centro',
      linkAddress: address(vm),
      rpcAddress: address(vm),
      seen: 0,
      bundleVersion: 0,
      leaving: false,
      homes: [],
      announcements: [],
      witnessed: [],
      ...change,
    }, PEER)
    return result.kind === 'granted' ? result.release : undefined
  }
  return { renew, home: () => state.views.d.home?.proxy }
}

const REPORT: HomeReport = {
  database: 'd', epoch: 1, term: 3, targets: [], committed: ORIGIN, promoted: null, wantInSync: null, released: false,
}

test('the answer to a renewal that states an overload names the homes to release, and the released home goes to the other VM', async () => {
  const { renew, home } = startDuties()
  expect(renew('vm-2', { homeFitness: 1 })).toEqual([])
  expect(renew('vm-1', { homeFitness: 1, homes: [REPORT] })).toEqual([])
  await sleep(SETTLED_MS)
  expect(renew('vm-1', { homeFitness: 1, homes: [REPORT] })).toEqual([])
  expect(renew('vm-1', { homeFitness: 1, overloaded: true, homes: [REPORT] })).toEqual(['d'])
  expect(home()).toBe('vm-1#x')
  expect(renew('vm-1', { homeFitness: 1, overloaded: true, homes: [{ ...REPORT, released: true }] })).toEqual([])
  expect(home()).toBe('vm-2#x')
})

// Guards against SHORT: the home of a small VM was never asked to release its database, although a large VM held a lease.
test('the home of a VM that suits none is asked once to release its database when a fit VM holds a lease', async () => {
  const { renew, home } = startDuties()
  renew('vm-2', { homeFitness: 1 })
  renew('vm-1', { homeFitness: 0.1, homes: [REPORT] })
  await sleep(SETTLED_MS)
  expect(renew('vm-1', { homeFitness: 0.1, homes: [REPORT] })).toEqual(['d'])
  expect(renew('vm-1', { homeFitness: 0.1, homes: [REPORT] })).toEqual([])
  renew('vm-1', { homeFitness: 0.1, homes: [{ ...REPORT, released: true }] })
  expect(home()).toBe('vm-2#x')
})
