import { expect, test } from 'vitest'
import { type DatabaseView, type LogPosition } from '@briarpick/types'
import { createMetrics } from '@briarpick/metrics'
import { createAckHistory } from '../src/index.js'
import { createPrimaryJudge } from '../src/createPrimaryJudge.js'
import { type GroupTarget, type TargetGroup } from '../src/createTargetGroup.js'

const at = (offset: number): LogPosition => ({ term: 1, offset })
const LOOK_MS = 50

interface Play {
  /** Lag of each replica, in ms. */
  readonly lags: readonly number[]
  readonly waiting: number
  readonly received?: readonly LogPosition[]
  readonly isWriting?: boolean
}

/** A home that has run for a while with a primary that is well; time passes in looks. */
function startJudge (first: Play) {
  let play = first
  let now = 10_000
  // One more member than those that are seen: what is acknowledged cannot be learned from the others alone.
  const members = Array.from({ length: first.lags.length + 2 }, () => ({})) as unknown as DatabaseView['members']
  const view: DatabaseView = {
    service: 's', database: 'd', term: 1, state: 'open', primary: 'p', inSync: [], members, home: null, homeEpoch: 1, changedAt: 1,
  }
  const history = createAckHistory()
  history.setFloor(at(5))
  const target = (instance: string, received: LogPosition): GroupTarget => ({
    member: { instance, address: { host: '127.0.0.1', port: 1 }, dataCentre: 'x', state: 'serving' },
    lane: { slots: () => 5, abandon: () => {} },
    watch: {
      knowledge: () => ({
        reachability: 'ok', role: instance === 'p' ? 'primary' : 'replica', term: 1, received, statusAskedAt: now,
      }),
    },
  } as unknown as GroupTarget)
  const primary = target('p', at(9))
  const replicas = () => play.lags.map((_lag, i) => target(`r${i}`, play.received?.[i] ?? at(9)))
  const group = {
    all: () => [primary, ...replicas()],
    primary: () => primary,
    isLiveReplica: ({ member }: GroupTarget) => member.instance !== 'p',
    readCandidates: () => [{ isPrimary: true, lagMs: 0 }, ...play.lags.map((lagMs) => ({ isPrimary: false, lagMs }))],
  } as unknown as TargetGroup
  const judge = createPrimaryJudge({
    database: 'd',
    startedAt: 0,
    now: () => now,
    view: () => view,
    group: () => group,
    history,
    metrics: createMetrics(),
    stuckMs: () => 0,
    waiting: () => play.waiting,
    isWriting: () => play.isWriting === true,
    onReplace: () => {},
    tellNews: () => {},
  })
  return {
    judge,
    pass (ms: number, change: Partial<Play> = {}) {
      play = { ...play, ...change }
      for (let passed = 0; passed < ms; passed += LOOK_MS) {
        now += LOOK_MS
        judge.look()
      }
      return judge.promotion()
    },
  }
}

test('a primary that alone can serve and cannot serve all gives way to a replica that is far behind', () => {
  const { pass } = startJudge({ lags: [60_000, 50_000], waiting: 40 })
  expect(pass(700)).toBeNull()
  expect(pass(1000)).toEqual({ fromTerm: 1, heir: 'r0' })
})

test('it stays while a replica serves, while its queue is short, and while replicas catch up soon', () => {
  expect(startJudge({ lags: [60_000, 100], waiting: 40 }).pass(10_000)).toBeNull()
  expect(startJudge({ lags: [60_000, 50_000], waiting: 3 }).pass(10_000)).toBeNull()
  expect(startJudge({ lags: [1500, 3000], waiting: 40 }).pass(10_000)).toBeNull()
  expect(startJudge({ lags: [], waiting: 40 }).pass(10_000)).toBeNull()
})

test('a short pressure is no starving', () => {
  const { pass } = startJudge({ lags: [60_000], waiting: 40 })
  expect(pass(900)).toBeNull()
  expect(pass(100, { waiting: 0 })).toBeNull()
  expect(pass(900, { waiting: 40 })).toBeNull()
})

test('it does not give way to a replica that lacks an acknowledged write', () => {
  const { pass } = startJudge({ lags: [60_000, 50_000], waiting: 40, received: [at(4), at(3)] })
  expect(pass(10_000)).toBeNull()
  expect(pass(1000, { received: [at(4), at(5)] })).toEqual({ fromTerm: 1, heir: 'r1' })
})

test('writes at work end before it gives way, and new ones wait for its successor', () => {
  const { judge, pass } = startJudge({ lags: [60_000], waiting: 40, isWriting: true })
  expect(pass(1200)).toBeNull()
  expect(judge.isLeaving()).toBe(true)
  expect(judge.expectedMs()).toBeGreaterThan(0)
  expect(pass(100, { isWriting: false, waiting: 0 })).toEqual({ fromTerm: 1, heir: 'r0' })
})
