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
  /** State of the primary; `serving` if absent. */
  readonly primaryState?: 'serving' | 'leaving'
  readonly stuckMs?: number
  /** Time at which each replica's status was requested, in ms; the current time if absent. */
  readonly statusRequestedAt?: number
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
  const probed: string[] = []
  const target = (instance: string, received: LogPosition): GroupTarget => ({
    member: {
      instance,
      address: { host: '127.0.0.1', port: 1 },
      dataCentre: 'x',
      get state () { return instance === 'p' ? scenario.primaryState ?? 'serving' : 'serving' },
    },
    pool: { slots: () => 5, closeAll: () => {} },
    prober: {
      observation: () => ({
        reachability: 'ok',
        role: instance === 'p' ? 'primary' : 'replica',
        term: 1,
        received,
        statusRequestedAt: scenario.statusRequestedAt ?? now,
      }),
      probeNow: () => { probed.push(instance) },
    },
  } as unknown as GroupTarget)
  const primary = target('p', at(9))
  const replicas = () => scenario.lags.map((_lag, i) => target(`r${i}`, scenario.received?.[i] ?? at(9)))
  const group = {
    all: () => [primary, ...replicas()],
    primary: () => primary,
    get: (instance: string) => [primary, ...replicas()].find(({ member }) => member.instance === instance),
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
    stuckMs: () => scenario.stuckMs ?? 0,
    waiting: () => scenario.waiting,
    hasPendingWrites: () => scenario.hasPendingWrites === true,
    onPromotionRequested: () => {},
    requestReport: () => {},
  })
  return {
    monitor,
    history,
    probed,
    now: () => now,
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

test('a primary that is to be replaced as planned keeps acknowledging writes: they stop for a moment, and the replica that has them all is promoted', () => {
  const { monitor, advance, history, now } = startMonitor({ lags: [10, 10], waiting: 0, primaryState: 'leaving', received: [at(8), at(7)] })
  history.record(at(9), now())
  expect(advance(50)).toBeNull()
  expect(monitor.isSwitchingOver()).toBe(true)
  expect(advance(50, { received: [at(9), at(8)] })).toEqual({ fromTerm: 1, heir: 'r0' })
})

test('a planned switchover for which no replica is known to have all writes is given up, writes continue, and it is tried again', () => {
  const { monitor, advance, history, now } = startMonitor({ lags: [10], waiting: 0, primaryState: 'leaving', received: [at(4)] })
  history.record(at(9), now())
  expect(advance(1200)).toBeNull()
  expect(monitor.isSwitchingOver()).toBe(false)
  expect(advance(1800)).toBeNull()
  expect(monitor.isSwitchingOver()).toBe(false)
  advance(300)
  expect(monitor.isSwitchingOver()).toBe(true)
})

test('replicas are asked for their positions as soon as writes take unusually long, not when the primary is given up', () => {
  const { advance, probed, history, now } = startMonitor({ lags: [10, 10], waiting: 0, statusRequestedAt: 9000 })
  history.record(at(9), now())
  advance(200, { stuckMs: 100 })
  expect(probed).toEqual([])
  expect(advance(100, { stuckMs: 350 })).toBeNull()
  expect(new Set(probed)).toEqual(new Set(['r0', 'r1']))
})

test('a requested target that restarts without its log before control has recorded the request is not named any more', () => {
  const { monitor, advance, history, now } = startMonitor({ lags: [10, 10], waiting: 0, received: [at(9), at(9)] })
  history.record(at(9), now())
  expect(advance(50, { stuckMs: 800 })).toEqual({ fromTerm: 1, heir: 'r0' })
  expect(advance(50, { received: [at(1), at(9)] })).toEqual({ fromTerm: 1, heir: 'r1' })
  expect(advance(50, { received: [at(1), at(2)] })).toBeNull()
  expect(monitor.isReplacing()).toBe(true)
})
