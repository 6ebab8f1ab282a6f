import { expect, test } from 'vitest'
import { type DatabaseView, type LogPosition, type Member } from '@briarpick/types'
import { createMetrics } from '@briarpick/metrics'
import { createAckHistory } from '../src/index.js'
import { createPrimaryMonitor } from '../src/createPrimaryMonitor.js'
import { type GroupTarget, type TargetGroup } from '../src/createTargetGroup.js'

const CHECK_MS = 50
const at = (offset: number): LogPosition => ({ term: 1, offset })

/** What a target reports of itself. */
interface SimTarget {
  role: 'primary' | 'replica'
  term: number
  received: LogPosition
  isUp: boolean
}

const member = (instance: string): Member =>
  ({ instance, dataCentre: 'x', address: { host: '127.0.0.1', port: 1 }, state: 'serving' })

/**
 * Monitor of a home that has acknowledged up to offset 9, in a view that promotes b with term 3. The heir of term 2 ended before it led, so
 * the platform has counted one term less, and b leads term 2 once it is promoted.
 */
function startMonitor () {
  let now = 0
  let view: DatabaseView = {
    service: 's',
    database: 'd',
    term: 3,
    state: 'promoting',
    primary: null,
    heir: 'b',
    inSync: [],
    members: ['a', 'b', 'c'].map(member),
    home: null,
    homeEpoch: 1,
    changedAt: 1,
  }
  const history = createAckHistory()
  history.setFloor(at(5))
  history.record(at(9), 0)
  const targets: Record<string, SimTarget> = {
    a: { role: 'replica', term: 1, received: at(9), isUp: false },
    b: { role: 'replica', term: 1, received: at(9), isUp: true },
    c: { role: 'replica', term: 1, received: at(9), isUp: true },
  }
  const groupTarget = (instance: string): GroupTarget => ({
    member: member(instance),
    pool: { slots: () => 2, closeAll: () => {} },
    prober: {
      observation: () => {
        const { isUp, ...status } = targets[instance]
        const silentSince = isUp ? undefined : 0
        const reachability = isUp ? 'ok' : 'silent'
        return { ...status, silentSince, refusedSince: undefined, reachability, statusRequestedAt: isUp ? now : -Infinity }
      },
      probeNow: () => {},
    },
  } as unknown as GroupTarget)
  const all = ['a', 'b', 'c'].map(groupTarget)
  const group = {
    all: () => all,
    primary: () => undefined,
    get: (instance: string) => all.find((target) => target.member.instance === instance),
    isLiveReplica: ({ member: { instance } }: GroupTarget) => targets[instance].isUp && targets[instance].role === 'replica',
    readCandidates: () => [],
  } as unknown as TargetGroup
  const monitor = createPrimaryMonitor({
    database: 'd',
    startedAt: -1000,
    now: () => now,
    view: () => view,
    group: () => group,
    history,
    metrics: createMetrics(),
    stuckMs: () => 0,
    waiting: () => 0,
    hasPendingWrites: () => false,
    onPromotionRequested: () => {},
    requestReport: () => {},
  })
  return {
    monitor,
    targets,
    /** The platform promotes an instance. */
    lead (instance: string, term: number) {
      for (const target of Object.values(targets)) target.role = 'replica'
      Object.assign(targets[instance], { role: 'primary', term })
    },
    setView (change: Partial<DatabaseView>) {
      view = { ...view, ...change }
      monitor.onViewChange()
    },
    advance (ms: number) {
      for (let passed = 0; passed < ms; passed += CHECK_MS) {
        now += CHECK_MS
        monitor.check()
      }
      return monitor.promotion()
    },
  }
}

// Guards against RECOVER: an heir ended before it led, and the view waited for a term that no instance would ever have.
test('an heir that leads below the term of the view is succeeded by a replica, which raises the platform\'s term', () => {
  const { monitor, advance, lead, setView } = startMonitor()
  expect(advance(200)).toBeNull()
  lead('b', 2)
  expect(advance(250)).toBeNull()
  expect(advance(150)).toEqual({ fromTerm: 3, heir: 'c', raisesTerm: true })
  expect(advance(1000)).toEqual({ fromTerm: 3, heir: 'c', raisesTerm: true })
  expect(monitor.promotedTarget()).toBeUndefined()
  lead('c', 3)
  advance(100)
  expect(monitor.promotedTarget()?.member.instance).toBe('c')
  setView({ state: 'open', primary: 'c', heir: null })
  expect(monitor.isReplacing()).toBe(false)
  expect(monitor.promotion()).toBeNull()
})

test('terms that are further apart are raised one by one', () => {
  const { monitor, advance, lead, setView } = startMonitor()
  setView({ term: 4 })
  lead('b', 2)
  expect(advance(400)).toMatchObject({ heir: 'c', raisesTerm: true })
  lead('c', 3)
  expect(advance(400)).toMatchObject({ heir: 'b', raisesTerm: true })
  lead('b', 4)
  expect(monitor.promotedTarget()?.member.instance).toBe('b')
})

test('the term is raised only by a replica that has all that the leader has, and a lost leader is succeeded as any heir', () => {
  const { advance, lead, targets } = startMonitor()
  lead('b', 2)
  targets.c.received = at(8)
  expect(advance(5000)).toBeNull()
  Object.assign(targets.a, { isUp: true })
  expect(advance(100)).toMatchObject({ heir: 'a', raisesTerm: true })
  targets.c.received = at(9)
  targets.b.isUp = false
  // The one that was named may be on its way to lead.
  expect(advance(2000)).toMatchObject({ heir: 'a', raisesTerm: true })
  expect(advance(2000)).toEqual({ fromTerm: 3, heir: 'a' })
})
