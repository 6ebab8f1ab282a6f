import { expect, test } from 'vitest'
import { type DatabaseView, type HomeReport, type TargetReport } from '@briarpick/types'
import { chooseInSync, decideDatabaseStep, type StepInput, type StepPolicy, type LiveProxy } from '../src/index.js'

const POLICY: StepPolicy = { refusedAfterMs: 150, silentAfterMs: 1000, witnesses: 2, witnessTimeoutMs: 700 }
const address = { host: '127.0.0.1', port: 1 }
const member = (instance: string, dataCentre: string) => ({ instance, dataCentre, address, state: 'serving' as const })
const proxy = (name: string, dataCentre: string): LiveProxy => ({ proxy: name, dataCentre, linkAddress: address, leaving: false })
const target = (instance: string, changes: Partial<TargetReport> = {}): TargetReport => ({
  instance, reachability: 'ok', silentMs: 0, role: 'replica', term: 1, position: { term: 1, offset: 5 }, ...changes,
})

const VIEW: DatabaseView = {
  service: 's',
  database: 'd',
  term: 1,
  state: 'open',
  primary: 'a',
  inSync: ['b'],
  members: [member('a', 'x'), member('b', 'y'), member('c', 'z')],
  home: { proxy: 'p1', address, epoch: 1 },
  homeEpoch: 1,
  changedAt: 1,
}
const REPORT: HomeReport = {
  database: 'd',
  epoch: 1,
  term: 1,
  targets: [target('a', { role: 'primary' }), target('b'), target('c')],
  committed: { term: 1, offset: 5 },
  promoted: null,
  wantInSync: null,
  released: false,
}
const lost = (changes: Partial<TargetReport> = {}): HomeReport => ({
  ...REPORT, targets: [target('a', { reachability: 'refused', silentMs: 200, ...changes }), target('b'), target('c')],
})
const input = (changes: Partial<StepInput> = {}): StepInput => ({
  now: 10_000,
  view: VIEW,
  holder: proxy('p1', 'x'),
  proxies: [proxy('p1', 'x'), proxy('p2', 'y'), proxy('p3', 'z')],
  earlierLeasesExpired: true,
  report: REPORT,
  findings: [],
  round: undefined,
  ...changes,
})
const finding = (name: string, reachable: boolean, at = 10_050) => ({ database: 'd', instance: 'a', term: 1, reachable, proxy: name, at })

test('nothing is done while the primary answers', () => {
  expect(decideDatabaseStep(input(), POLICY)).toEqual({ calls: [], round: undefined, releaseHome: false })
})

test('a lost primary is looked at from other data centres before its term ends', () => {
  const asked = decideDatabaseStep(input({ report: lost() }), POLICY)
  expect(asked.command).toBeUndefined()
  expect(asked.calls.map((call) => call.proxy).sort()).toEqual(['p2', 'p3'])
  const agreed = decideDatabaseStep(input({ now: 10_100, report: lost(), round: asked.round, findings: [finding('p2', false), finding('p3', false)] }), POLICY)
  expect(agreed.command).toEqual({ kind: 'freeze', database: 'd', fromTerm: 1 })
})

test('a home that alone cannot reach the primary gives the database up, and nothing is promoted', () => {
  const asked = decideDatabaseStep(input({ report: lost() }), POLICY)
  const judged = decideDatabaseStep(input({ now: 20_000, report: lost({ silentMs: 9000 }), round: asked.round, findings: [finding('p2', true)] }), POLICY)
  expect(judged.command).toBeUndefined()
  expect(judged.releaseHome).toBe(true)
})

test('without an answer of any witness nothing is promoted, however long the silence', () => {
  const asked = decideDatabaseStep(input({ report: lost() }), POLICY)
  expect(decideDatabaseStep(input({ now: 90_000, report: lost({ silentMs: 80_000 }), round: asked.round }), POLICY).command).toBeUndefined()
})

test('findings from before the question do not count', () => {
  const asked = decideDatabaseStep(input({ report: lost() }), POLICY)
  const stale = [finding('p2', false, 9000), finding('p3', false, 9000)]
  expect(decideDatabaseStep(input({ now: 10_100, report: lost(), round: asked.round, findings: stale }), POLICY).command).toBeUndefined()
})

test('a short silence asks witnesses but is no loss whatever they say, and a loss without an in-sync replica promotes nobody', () => {
  expect(decideDatabaseStep(input({ report: lost({ reachability: 'silent', silentMs: 400 }) }), POLICY).calls).toEqual([])
  const suspected = lost({ reachability: 'silent', silentMs: 900 })
  const asked = decideDatabaseStep(input({ report: suspected }), POLICY)
  expect(asked.calls).toHaveLength(2)
  for (const reachable of [true, false]) {
    const findings = [finding('p2', reachable), finding('p3', reachable)]
    const judged = decideDatabaseStep(input({ now: 10_100, report: suspected, round: asked.round, findings }), POLICY)
    expect(judged).toMatchObject({ releaseHome: false })
    expect(judged.command).toBeUndefined()
  }
  const withoutHeir = { ...lost(), targets: [target('a', { reachability: 'refused', silentMs: 900 }), target('b', { reachability: 'silent', silentMs: 900 }), target('c')] }
  expect(decideDatabaseStep(input({ report: withoutHeir }), POLICY)).toMatchObject({ calls: [], releaseHome: false })
})

test('an in-sync replica that lacks what was acknowledged is no heir', () => {
  const behind = { ...lost(), committed: { term: 1, offset: 6 } }
  expect(decideDatabaseStep(input({ report: behind }), POLICY)).toMatchObject({ calls: [], releaseHome: false })
})

test('a home is replaced only after its lease and those of an earlier leader have run out', () => {
  const others = [proxy('p2', 'y'), proxy('p3', 'z')]
  expect(decideDatabaseStep(input({ holder: undefined, proxies: others, earlierLeasesExpired: false }), POLICY).command).toBeUndefined()
  expect(decideDatabaseStep(input({ holder: undefined, proxies: others }), POLICY).command).toMatchObject({ kind: 'assignHome', fromEpoch: 1 })
  const released = { ...REPORT, released: true }
  expect(decideDatabaseStep(input({ report: released, earlierLeasesExpired: false }), POLICY).command).toMatchObject({ kind: 'assignHome' })
})

test('a leaving primary hands over to an in-sync replica', () => {
  const members = [{ ...member('a', 'x'), state: 'leaving' as const }, member('b', 'y')]
  expect(decideDatabaseStep(input({ view: { ...VIEW, members } }), POLICY).command).toMatchObject({ kind: 'freeze' })
})

test('a primary that answers as a replica, since it was restarted, is replaced at once', () => {
  const restarted = { ...REPORT, targets: [target('a', { role: 'replica', term: 0 }), target('b'), target('c')] }
  expect(decideDatabaseStep(input({ report: restarted }), POLICY).command).toEqual({ kind: 'freeze', database: 'd', fromTerm: 1 })
})

test('of two primaries in the same first term none is chosen', () => {
  const forming: DatabaseView = { ...VIEW, state: 'forming', primary: null, term: 0 }
  const both = { ...REPORT, targets: [target('a', { role: 'primary' }), target('b', { role: 'primary' })] }
  expect(decideDatabaseStep(input({ view: forming, report: both }), POLICY).command).toBeUndefined()
  expect(decideDatabaseStep(input({ view: forming, report: REPORT }), POLICY).command).toMatchObject({ kind: 'open', primary: 'a', term: 1 })
})

test('replicas stay in the in-sync set while they answer, and the furthest one follows', () => {
  const candidates = [
    { instance: 'b', usable: true, position: { term: 1, offset: 5 } },
    { instance: 'c', usable: true, position: { term: 1, offset: 9 } },
  ]
  expect(chooseInSync(candidates, ['b'], 1)).toEqual(['b'])
  expect(chooseInSync(candidates, [], 1)).toEqual(['c'])
  expect(chooseInSync(candidates, ['a'], 1)).toEqual(['c'])
})
