import { expect, test } from 'vitest'
import { type DatabaseView, type LogPosition } from '@briarpick/types'
import { createMetrics } from '@briarpick/metrics'
import { createAckHistory } from '../src/index.js'
import { createPrimaryMonitor } from '../src/createPrimaryMonitor.js'
import { type GroupTarget, type TargetGroup } from '../src/createTargetGroup.js'

const at = (offset: number): LogPosition => ({ term: 1, offset })
const CHECK_MS = 50

interface Scenario {
  /** Lag of each replica, in ms. */
  readonly lags: readonly number[]
  readonly waiting: number
  readonly received?: readonly LogPosition[]
  readonly hasPendingWrites?: boolean
}

/** Starts the monitor of a home that has run for a while with a healthy primary; time advances by one check at a time. */
function startMonitor (initial: Scenario) {
  let scenario = initial
  let now = 10_000
  // One member more than the group has targets, so that the highest acknowledged position can't be derived from the other targets alone.
  const members = Array.from({ length: initial.lags.length + 2 }, () => ({})) as unknown as DatabaseView['members']
  const view: DatabaseView = {
    service: 's', database: 'd', term: 1, state: 'open', primary: 'p', inSync: [], members, home: null, homeEpoch: 1, changedAt: 1,
  }
  const history = createAckHistory()
  history.setFloor(at(5))
  const target = (instance: string, received: LogPosition): GroupTarget => ({
    member: { instance, address: { host: '127.0.0.1', port: 1 }, dataCentre: 'x', state: 'serving' },
    pool: { slots: () => 5, closeAll: () => {} },
    prober: {
      observation: () => ({
        reachability: 'ok', role: instance === 'p' ? 'primary' : 'replica', term: 1, received, statusRequestedAt: now,
      }),
    },
  } as unknown as GroupTarget)
  const primary = target('p', at(9))
  const replicas = () => scenario.lags.map((_lag, i) => target(`r${i}`, scenario.received?.[i] ?? at(9)))
  const group = {
    all: () => [primary, ...replicas()],
    primary: () => primary,
    isLiveReplica: ({ member }: GroupTarget) => member.instance !== 'p',
    readCandidates: () => [{ isPrimary: true, lagMs: 0 }, ...scenario.lags.map((lagMs) => ({ isPrimary: false, lagMs }))],
  } as unknown as TargetGroup
  const monitor = createPrimaryMonitor({
    database: 'd',
    startedAt: 0,
    now: () => now,
    view: () => view,
    group: () => group,
    history,
    metrics: createMetrics(),
    stuckMs: () => 0,
    waiting: () => scenario.waiting,
    hasPendingWrites: () => scenario.hasPendingWrites === true,
    onPromotionRequested: () => {},
    requestReport: () => {},
  })
  return {
    monitor,
    advance (ms: number, change: Partial<Scenario> = {}) {
      scenario = { ...scenario, ...change }
      for (let passed = 0; passed < ms; passed += CHECK_MS) {
        now += CHECK_MS
        monitor.check()
      }
      return monitor.promotion()
    },
  }
}

test('an overloaded primary whose replicas are all far behind is replaced by one of them', () => {
  const { advance } = startMonitor({ lags: [60_000, 50_000], waiting: 40 })
  expect(advance(700)).toBeNull()
  expect(advance(1000)).toEqual({ fromTerm: 1, heir: 'r0' })
})

test('the primary is not replaced while a replica is not far behind, while few statements wait, or while there are no replicas', () => {
  expect(startMonitor({ lags: [60_000, 100], waiting: 40 }).advance(10_000)).toBeNull()
  expect(startMonitor({ lags: [60_000, 50_000], waiting: 3 }).advance(10_000)).toBeNull()
  expect(startMonitor({ lags: [1500, 3000], waiting: 40 }).advance(10_000)).toBeNull()
  expect(startMonitor({ lags: [], waiting: 40 }).advance(10_000)).toBeNull()
})

test('a short overload does not replace the primary', () => {
  const { advance } = startMonitor({ lags: [60_000], waiting: 40 })
  expect(advance(900)).toBeNull()
  expect(advance(100, { waiting: 0 })).toBeNull()
  expect(advance(900, { waiting: 40 })).toBeNull()
})

test('an overloaded primary is not replaced by a replica that lacks an acknowledged write', () => {
  const { advance } = startMonitor({ lags: [60_000, 50_000], waiting: 40, received: [at(4), at(3)] })
  expect(advance(10_000)).toBeNull()
  expect(advance(1000, { received: [at(4), at(5)] })).toEqual({ fromTerm: 1, heir: 'r1' })
})

test('a switchover waits for writes in flight, holds back new ones and reports when a new primary is expected', () => {
  const { monitor, advance } = startMonitor({ lags: [60_000], waiting: 40, hasPendingWrites: true })
  expect(advance(1200)).toBeNull()
  expect(monitor.isSwitchingOver()).toBe(true)
  expect(monitor.successorExpectedMs()).toBeGreaterThan(0)
  expect(advance(100, { hasPendingWrites: false, waiting: 0 })).toEqual({ fromTerm: 1, heir: 'r0' })
})
