import { expect, test } from 'vitest'
import { type DatabaseView, type HomeReport, ORIGIN, type TargetReport } from '@briarpick/types'
import { chooseHomeByFitness, decidePlatformGroupStep, instanceToPromote, type LiveProxy, reserveOnLeaderHost, type StepInput } from '../src/index.js'

const address = (port: number) => ({ host: '127.0.0.1', port })
const member = (instance: string, port: number) => ({ instance, dataCentre: 'centro', address: address(port), state: 'serving' as const })
const proxy = (name: string, port: number, change: Partial<LiveProxy> = {}): LiveProxy =>
  ({ proxy: name, dataCentre: 'centro', linkAddress: address(port), leaving: false, homeFitness: 1, ...change })
const HOME = proxy('vm-1#first', 1)
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
  members: [member('a', 11), member('b', 12), member('c', 13)],
  home: { proxy: HOME.proxy, address: HOME.linkAddress, epoch: 1 },
}
const REPORT: HomeReport = {
  database: 'd', epoch: 1, term: 3, targets: [], committed: ORIGIN, promoted: null, wantInSync: null, released: false,
}

function input (change: Partial<StepInput> = {}): StepInput {
  return {
    now: 10_000, view: VIEW, holder: HOME, proxies: [HOME, proxy('vm-2#first', 2)], earlierLeasesExpired: true, report: REPORT, findings: [], round: undefined, ...change,
  }
}

test('a promotion requested by the home is proposed with its target, but only in the term it was decided in and only for a member', () => {
  const promotion = { fromTerm: 3, heir: 'b' }
  expect(decidePlatformGroupStep(input({ report: { ...REPORT, promotion } })).command)
    .toEqual({ kind: 'freeze', database: 'd', fromTerm: 3, heir: 'b' })
  expect(decidePlatformGroupStep(input({ report: { ...REPORT, promotion: { ...promotion, fromTerm: 2 } } })).command).toBeUndefined()
  expect(decidePlatformGroupStep(input({ report: { ...REPORT, promotion: { ...promotion, heir: 'nobody' } } })).command).toBeUndefined()
})

test('the committed promotion target changes only once no call of an earlier leader to the platform can still arrive', () => {
  const view: DatabaseView = { ...VIEW, term: 4, state: 'promoting', primary: null, heir: 'b' }
  const report = { ...REPORT, term: 4, promotion: { fromTerm: 4, heir: 'c' } }
  expect(decidePlatformGroupStep(input({ view, report, earlierLeasesExpired: false })).command).toBeUndefined()
  expect(decidePlatformGroupStep(input({ view, report })).command).toMatchObject({ kind: 'freeze', heir: 'c' })
})

test('a promoted target opens the database in the term that it reports', () => {
  const view: DatabaseView = { ...VIEW, term: 4, state: 'promoting', primary: null, heir: 'b' }
  const report = { ...REPORT, term: 4, promoted: 'b', promotedTerm: 6 }
  expect(decidePlatformGroupStep(input({ view, report })).command).toMatchObject({ kind: 'open', term: 6, primary: 'b' })
})

test('a home is not replaced while a lease granted by an earlier leader may still be valid', () => {
  expect(decidePlatformGroupStep(input({ holder: undefined, earlierLeasesExpired: false })).command).toBeUndefined()
  expect(decidePlatformGroupStep(input({ holder: undefined })).command).toMatchObject({ kind: 'assignHome', proxy: 'vm-2#first' })
})

test('a home is replaced before its lease expires once a later process of the same proxy serves at its address', () => {
  const restarted = proxy('vm-1#second', 1)
  const proxies = [restarted, proxy('vm-2#first', 2)]
  expect(decidePlatformGroupStep(input({ holder: undefined, earlierLeasesExpired: false, proxies })).command).toMatchObject({ kind: 'assignHome' })
  const elsewhere = [proxy('vm-3#first', 1), proxy('vm-1#second', 3)]
  expect(decidePlatformGroupStep(input({ holder: undefined, earlierLeasesExpired: false, proxies: elsewhere })).command).toBeUndefined()
})

test('homes are spread over the VMs with the highest fitness, one each before any gets a second', () => {
  const small = proxy('vm-0#x', 5, { homeFitness: 0.3 })
  const large = [proxy('vm-1#x', 6), proxy('vm-2#x', 7)]
  const choose = (homes: Readonly<Record<string, number>>) =>
    chooseHomeByFitness(VIEW, [small, ...large], undefined, new Map(Object.entries(homes)))?.proxy
  expect(choose({})).toBe('vm-1#x')
  expect(choose({ 'vm-1#x': 1 })).toBe('vm-2#x')
  expect(choose({ 'vm-1#x': 1, 'vm-2#x': 1 })).toBe('vm-1#x')
  expect(chooseHomeByFitness(VIEW, [proxy('vm-9#x', 9, { leaving: true })], undefined)).toBeUndefined()
})

test('homes avoid the VM of the leader while other VMs have the same fitness, so that its loss affects no home', () => {
  const vm = (name: string, host: string) => proxy(name, 6, { linkAddress: { host, port: 6 } })
  const proxies = reserveOnLeaderHost('10.0.0.1', [vm('vm-1#x', '10.0.0.1'), vm('vm-2#x', '10.0.0.2'), vm('vm-3#x', '10.0.0.3')])
  const homes = new Map<string, number>()
  for (let i = 0; i < 4; i += 1) {
    const chosen = chooseHomeByFitness(VIEW, proxies, undefined, homes)?.proxy ?? 'none'
    homes.set(chosen, (homes.get(chosen) ?? 0) + 1)
  }
  expect(Object.fromEntries(homes)).toEqual({ 'vm-2#x': 2, 'vm-3#x': 2 })
  const alone = reserveOnLeaderHost('10.0.0.1', [vm('vm-1#x', '10.0.0.1'), proxy('vm-9#x', 9, { homeFitness: 0.1 })])
  expect(chooseHomeByFitness(VIEW, alone, undefined)?.proxy).toBe('vm-1#x')
})

test('the assignment of a home states why it was made and what it was chosen from', () => {
  const proxies = [proxy('vm-2#first', 2, { homeFitness: 0.1 }), proxy('vm-3#first', 3, { homeFitness: 0.8, leaving: true }), proxy('vm-4#first', 4, { homeFitness: 0.4 })]
  const homeCounts = new Map([['vm-4#first', 5]])
  expect(decidePlatformGroupStep(input({ holder: undefined, proxies, homeCounts })).homeChoice).toEqual({
    reason: 'leaseExpired', proxy: 'vm-2#first', fitness: 0.1, homes: 0, previous: 'vm-1#first', candidates: 2, highestFitness: 0.4,
  })
  expect(decidePlatformGroupStep(input({ report: { ...REPORT, released: true } })).homeChoice).toMatchObject({ reason: 'released' })
  expect(decidePlatformGroupStep(input({ holder: undefined, proxies: [proxy('vm-1#second', 1)] })).homeChoice).toMatchObject({ reason: 'restarted' })
})

test('the loss of a target is recorded as confirmed once the home has confirmed it, not an earlier one', () => {
  const view: DatabaseView = { ...VIEW, unconfirmedLoss: 7 }
  expect(decidePlatformGroupStep(input({ view, report: { ...REPORT, confirmedLoss: 7 } })).command)
    .toEqual({ kind: 'setInSync', database: 'd', term: 3, inSync: [], confirmedLoss: 7 })
  expect(decidePlatformGroupStep(input({ view, report: { ...REPORT, confirmedLoss: 6 } })).command).toBeUndefined()
  expect(decidePlatformGroupStep(input({ report: { ...REPORT, confirmedLoss: 7 } })).command).toBeUndefined()
})

const SILENT: TargetReport = { instance: 'b', reachability: 'silent', silentMs: 31_000, role: 'replica', term: 3, position: ORIGIN }
const SILENT_REPORT: HomeReport = { ...REPORT, targets: [SILENT] }

// Guards against LOST: control removed a replica that only its home did not reach, and it went on confirming commits unknown to both.
test('a target that its home does not reach is not removed while it announces itself, nor before a new leader could have heard it', () => {
  const removal = (announcedAt: number, leaderSince: number) => decidePlatformGroupStep(input({
    now: 100_000, report: SILENT_REPORT, leaderSince, announcedAt: (instance) => instance === 'b' ? announcedAt : -Infinity,
  }))
  expect(removal(95_000, 0).command).toBeUndefined()
  expect(removal(-Infinity, 80_000).command).toBeUndefined()
  expect(removal(69_000, 0)).toMatchObject({
    command: { kind: 'removeTarget', database: 'd', instance: 'b' },
    removal: { instance: 'b', reachability: 'silent', silentMs: 31_000, unannouncedMs: 31_000 },
  })
  expect(removal(-Infinity, 0).command).toMatchObject({ kind: 'removeTarget', instance: 'b' })
})

test('a report of before a removal does not remove the target again', () => {
  const view = { ...VIEW, members: VIEW.members.filter(({ instance }) => instance !== 'b') }
  const left = { ...SILENT_REPORT, targets: [{ ...SILENT, reachability: 'refused' as const }] }
  for (const report of [SILENT_REPORT, left]) {
    expect(decidePlatformGroupStep(input({ view, report, hasWithdrawn: () => true })).command).toBeUndefined()
    expect(decidePlatformGroupStep(input({ report, hasWithdrawn: () => true })).command).toMatchObject({ kind: 'removeTarget' })
  }
})

const PROMOTING: DatabaseView = { ...VIEW, term: 5, state: 'promoting', primary: null, heir: 'b' }

// Guards against RECOVER: an heir ended before it led, and the view waited for a term that no instance would ever have.
test('an instance that raises the platform\'s term is promoted without a new term of the view, once no call of an earlier leader can arrive', () => {
  const raise: HomeReport = { ...REPORT, term: 5, promotion: { fromTerm: 5, heir: 'c', raisesTerm: true } }
  expect(decidePlatformGroupStep(input({ view: PROMOTING, report: raise })).command).toBeUndefined()
  expect(instanceToPromote(PROMOTING, raise, true)).toBe('c')
  expect(instanceToPromote(PROMOTING, raise, false)).toBe('b')
  for (const promotion of [{ fromTerm: 4, heir: 'c', raisesTerm: true }, { fromTerm: 5, heir: 'nobody', raisesTerm: true }, { fromTerm: 5, heir: 'c' }, null]) {
    expect(instanceToPromote(PROMOTING, { ...raise, promotion }, true)).toBe('b')
  }
  expect(instanceToPromote(PROMOTING, undefined, true)).toBe('b')
  expect(instanceToPromote(VIEW, raise, true)).toBeUndefined()
  expect(instanceToPromote({ ...PROMOTING, heir: null }, raise, true)).toBeUndefined()
})
