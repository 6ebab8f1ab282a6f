import { expect, test } from 'vitest'
import { type DatabaseView, type HomeReport, type TargetReport } from '@briarpick/types'
import { chooseInSync, decideDatabaseStep, type LiveProxy, type StepInput, type StepPolicy } from '../src/index.js'

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

test('witnesses in other data centres probe a lost primary before its term ends', () => {
  const asked = decideDatabaseStep(input({ report: lost() }), POLICY)
  expect(asked.command).toBeUndefined()
  expect(asked.calls.map((call) => call.proxy).sort()).toEqual(['p2', 'p3'])
  const agreed = decideDatabaseStep(input({ now: 10_100, report: lost(), round: asked.round, findings: [finding('p2', false), finding('p3', false)] }), POLICY)
  expect(agreed.command).toEqual({ kind: 'freeze', database: 'd', fromTerm: 1 })
})

test('a home that cannot reach the primary releases the database if a witness can, and nothing is promoted', () => {
  const asked = decideDatabaseStep(input({ report: lost() }), POLICY)
  const decided = decideDatabaseStep(input({ now: 20_000, report: lost({ silentMs: 9000 }), round: asked.round, findings: [finding('p2', true)] }), POLICY)
  expect(decided.command).toBeUndefined()
  expect(decided.releaseHome).toBe(true)
})

test('nothing is promoted until a witness answers, however long the primary has been silent', () => {
  const asked = decideDatabaseStep(input({ report: lost() }), POLICY)
  expect(decideDatabaseStep(input({ now: 90_000, report: lost({ silentMs: 80_000 }), round: asked.round }), POLICY).command).toBeUndefined()
})

test('findings that arrived before the current round of witness probes are ignored', () => {
  const asked = decideDatabaseStep(input({ report: lost() }), POLICY)
  const stale = [finding('p2', false, 9000), finding('p3', false, 9000)]
  expect(decideDatabaseStep(input({ now: 10_100, report: lost(), round: asked.round, findings: stale }), POLICY).command).toBeUndefined()
})

test('a suspected primary is probed but not replaced before it counts as lost, and without a reachable in-sync replica nothing is promoted', () => {
  expect(decideDatabaseStep(input({ report: lost({ reachability: 'silent', silentMs: 400 }) }), POLICY).calls).toEqual([])
  const suspected = lost({ reachability: 'silent', silentMs: 900 })
  const asked = decideDatabaseStep(input({ report: suspected }), POLICY)
  expect(asked.calls).toHaveLength(2)
  for (const reachable of [true, false]) {
    const findings = [finding('p2', reachable), finding('p3', reachable)]
    const decided = decideDatabaseStep(input({ now: 10_100, report: suspected, round: asked.round, findings }), POLICY)
    expect(decided).toMatchObject({ releaseHome: false })
    expect(decided.command).toBeUndefined()
  }
  const withoutReplica = { ...lost(), targets: [target('a', { reachability: 'refused', silentMs: 900 }), target('b', { reachability: 'silent', silentMs: 900 }), target('c')] }
  expect(decideDatabaseStep(input({ report: withoutReplica }), POLICY)).toMatchObject({ calls: [], releaseHome: false })
})

test('an in-sync replica that lacks acknowledged writes is not promoted', () => {
  const behind = { ...lost(), committed: { term: 1, offset: 6 } }
  expect(decideDatabaseStep(input({ report: behind }), POLICY)).toMatchObject({ calls: [], releaseHome: false })
})

test('a home that has not released its database is replaced only after its lease and those of earlier leaders have expired', () => {
  const others = [proxy('p2', 'y'), proxy('p3', 'z')]
  expect(decideDatabaseStep(input({ holder: undefined, proxies: others, earlierLeasesExpired: false }), POLICY).command).toBeUndefined()
  expect(decideDatabaseStep(input({ holder: undefined, proxies: others }), POLICY).command).toMatchObject({ kind: 'assignHome', fromEpoch: 1 })
  const released = { ...REPORT, released: true }
  expect(decideDatabaseStep(input({ report: released, earlierLeasesExpired: false }), POLICY).command).toMatchObject({ kind: 'assignHome' })
})

test('a leaving primary is replaced by an in-sync replica', () => {
  const members = [{ ...member('a', 'x'), state: 'leaving' as const }, member('b', 'y')]
  expect(decideDatabaseStep(input({ view: { ...VIEW, members } }), POLICY).command).toMatchObject({ kind: 'freeze' })
})

test('a restarted primary that answers as a replica is replaced at once', () => {
  const restarted = { ...REPORT, targets: [target('a', { role: 'replica', term: 0 }), target('b'), target('c')] }
  expect(decideDatabaseStep(input({ report: restarted }), POLICY).command).toEqual({ kind: 'freeze', database: 'd', fromTerm: 1 })
})

test('a database with two primaries in the same first term is not opened', () => {
  const forming: DatabaseView = { ...VIEW, state: 'forming', primary: null, term: 0 }
  const twoPrimaries = { ...REPORT, targets: [target('a', { role: 'primary' }), target('b', { role: 'primary' })] }
  expect(decideDatabaseStep(input({ view: forming, report: twoPrimaries }), POLICY).command).toBeUndefined()
  expect(decideDatabaseStep(input({ view: forming, report: REPORT }), POLICY).command).toMatchObject({ kind: 'open', primary: 'a', term: 1 })
})

test('usable replicas stay in the in-sync set, and free places go to the most advanced replica', () => {
  const candidates = [
    { instance: 'b', usable: true, position: { term: 1, offset: 5 } },
    { instance: 'c', usable: true, position: { term: 1, offset: 9 } },
  ]
  expect(chooseInSync(candidates, ['b'], 1)).toEqual(['b'])
  expect(chooseInSync(candidates, [], 1)).toEqual(['c'])
  expect(chooseInSync(candidates, ['a'], 1)).toEqual(['c'])
})
