import * as fc from 'fast-check'
import { expect, test } from 'vitest'
import { type DatabaseView, type HomeReport, ORIGIN } from '@briarpick/types'
import { decidePlatformGroupStep, type LiveProxy, reserveOnLeaderHost, type StepInput } from '../src/index.js'

const NOW = 60_000
const address = (port: number) => ({ host: `10.0.0.${port}`, port })
const member = (instance: string, port: number) => ({ instance, dataCentre: 'centro', address: address(port), state: 'serving' as const })
const vm = (name: string, homeFitness: number, change: Partial<LiveProxy> = {}): LiveProxy =>
  ({ proxy: `${name}#x`, dataCentre: 'centro', linkAddress: address(Number(name.split('-')[1])), leaving: false, homeFitness, leasedSince: 0, ...change })
const LARGE = [1, 2, 3, 4, 5].map((n) => vm(`large-${n}`, 0.8))
const SMALL = Array.from({ length: 78 }, (_, n) => vm(`small-${100 + n}`, 0.1))

/** The step for a database whose home is on `home`, which has held it for 40 s unless stated otherwise. */
function stepAt (
  home: LiveProxy,
  proxies: readonly LiveProxy[],
  homes: Readonly<Record<string, number>>,
  { homeFitness, ...change }: Partial<StepInput> & { readonly homeFitness?: number } = {}
) {
  const view: DatabaseView = {
    service: 'd',
    database: 'd',
    term: 3,
    state: 'open',
    primary: 'a',
    inSync: [],
    heir: null,
    homeEpoch: 2,
    changedAt: 1,
    members: [member('a', 11), member('b', 12), member('c', 13)],
    home: { proxy: home.proxy, address: home.linkAddress, epoch: 2, fitness: homeFitness },
  }
  const report: HomeReport = {
    database: 'd', epoch: 2, term: 3, targets: [], committed: ORIGIN, promoted: null, wantInSync: null, released: false,
  }
  return decidePlatformGroupStep({
    now: NOW,
    view,
    holder: home,
    proxies,
    earlierLeasesExpired: true,
    report,
    findings: [],
    round: undefined,
    homeCounts: new Map(Object.entries(homes).map(([name, count]) => [`${name}#x`, count])),
    homeSince: 20_000,
    ...change,
  })
}

// Guards against SHORT: homes assigned to small VMs while the large ones were down stayed there, and served a third from then on.
test('a home on a small VM is moved once a large VM has held its lease for a while, also if that has homes already', () => {
  const small = SMALL[0]
  const step = stepAt(small, [...LARGE, ...SMALL], { 'small-100': 1 })
  expect(step.releaseHome).toBe(true)
  expect(step.homeMove).toMatchObject({ reason: 'fitter', from: small.proxy, to: 'large-1#x' })
  expect(stepAt(small, [LARGE[0], ...SMALL], { 'small-100': 1, 'large-1': 3 }).releaseHome).toBe(true)
})

const lostHome = (change: Partial<StepInput> = {}) => stepAt({ ...LARGE[0], proxy: 'large-1#earlier' }, SMALL, {}, {
  holder: undefined, report: undefined, homeFitness: 0.8, leaderSince: NOW - 1900, ...change,
})

// Guards against SHORT: after a power cut of all large VMs the small ones got their homes, just before the large ones renewed.
test('a new leader waits a moment for a VM like that of the lost home before it takes one with a fraction of its fitness', () => {
  expect(lostHome().command).toBeUndefined()
  expect(lostHome({ proxies: [...SMALL, LARGE[1]] }).command).toMatchObject({ kind: 'assignHome', proxy: 'large-2#x' })
  expect(lostHome({ leaderSince: NOW - 2100 }).command).toMatchObject({ kind: 'assignHome', proxy: 'small-100#x' })
  expect(lostHome({ homeFitness: 0.1 }).command).toMatchObject({ kind: 'assignHome', proxy: 'small-100#x' })
  expect(lostHome({ homeFitness: undefined }).command).toMatchObject({ kind: 'assignHome', proxy: 'small-100#x' })
})

// Guards against SHORT: the VM that was back first after a restart kept the homes of all databases.
test('homes that one VM took alone are spread over the VMs that have come back', () => {
  expect(stepAt(LARGE[0], LARGE, { 'large-1': 6 }).homeMove).toMatchObject({ reason: 'fitter', to: 'large-2#x' })
  expect(stepAt(LARGE[0], LARGE, { 'large-1': 2, 'large-2': 1, 'large-3': 1, 'large-4': 1, 'large-5': 1 }).releaseHome).toBe(false)
})

test('a home stays while a move would gain little, came too soon or would disturb the replacement of its primary', () => {
  const [small] = SMALL
  const homes = { 'small-100': 1 }
  const proxies = [...LARGE, ...SMALL]
  const silent = {
    instance: 'a', reachability: 'silent' as const, silentMs: 300, position: ORIGIN, role: 'primary' as const, term: 3,
  }
  const report: HomeReport = { database: 'd', epoch: 2, term: 3, targets: [], committed: ORIGIN, promoted: null, wantInSync: null, released: false }
  expect(stepAt(small, proxies, homes, { homeSince: NOW - 400 }).releaseHome).toBe(false)
  expect(stepAt(small, proxies, homes, { homeSince: undefined }).releaseHome).toBe(false)
  expect(stepAt(small, proxies, homes, { report: { ...report, targets: [silent] } }).releaseHome).toBe(false)
  expect(stepAt(small, proxies, homes, { report: { ...report, targets: [{ ...silent, instance: 'b' }] } }).releaseHome).toBe(true)
  const unsettled = [vm('large-1', 0.8, { leasedSince: NOW - 400 }), vm('large-2', 0.8, { leaving: true }), ...SMALL]
  expect(stepAt(small, unsettled, homes).releaseHome).toBe(false)
  expect(stepAt(small, [LARGE[0], ...SMALL], { ...homes, 'large-1': 4 }).releaseHome).toBe(false)
  expect(stepAt(LARGE[0], LARGE, { 'large-1': 3 }).releaseHome).toBe(false)
})

const overloaded = (proxy: LiveProxy): LiveProxy => ({ ...proxy, overloaded: true, recentlyOverloaded: true })

// Guards against SHORT: an overload of all large VMs at once moved their homes to small ones, whose links serve a third of a database.
test('the homes of an overloaded VM move to comparable VMs, and stay while all of these are overloaded too', () => {
  const homes = { 'large-1': 2, 'large-2': 2, 'large-3': 1, 'large-4': 1, 'large-5': 0 }
  const all = LARGE.map(overloaded)
  expect(stepAt(all[0], [all[0], ...LARGE.slice(1), ...SMALL], homes).homeMove).toMatchObject({ reason: 'overloaded', to: 'large-5#x' })
  expect(stepAt(all[0], [...all, ...SMALL], homes).releaseHome).toBe(false)
  const recovering = LARGE.slice(1).map((proxy) => ({ ...proxy, recentlyOverloaded: true }))
  expect(stepAt(all[0], [all[0], ...recovering, ...SMALL], homes).releaseHome).toBe(false)
  expect(stepAt(SMALL[0], [...all, ...SMALL], { 'small-100': 1 }).releaseHome).toBe(false)
})

test('moves end after a few rounds, whatever the VMs and the first placement: no home goes back and forth', () => {
  const fitnesses = fc.array(fc.double({ min: 0.02, max: 1, noNaN: true }), { minLength: 2, maxLength: 12 })
  const placements = fc.array(fc.nat(), { minLength: 1, maxLength: 24 })
  const overloads = fc.array(fc.boolean(), { minLength: 12, maxLength: 12 })
  fc.assert(fc.property(fitnesses, placements, fc.nat(), overloads, (values, places, leader, isOverloaded) => {
    const sized = values.map((fitness, n) => isOverloaded[n] ? overloaded(vm(`vm-${n}`, fitness)) : vm(`vm-${n}`, fitness))
    const vms = reserveOnLeaderHost(address(leader % values.length).host, sized)
    const placed = places.map((place) => place % vms.length)
    const counts = () => placed.reduce<Record<string, number>>((sum, n) => ({ ...sum, [`vm-${n}`]: (sum[`vm-${n}`] ?? 0) + 1 }), {})
    let moves = 0
    for (let calm = false; !calm;) {
      calm = true
      for (const [database, place] of placed.entries()) {
        const { homeMove } = stepAt(vms[place], vms, counts())
        if (homeMove === undefined) continue
        placed[database] = vms.findIndex(({ proxy }) => proxy === homeMove.to)
        moves += 1
        calm = false
      }
      expect(moves).toBeLessThanOrEqual(placed.length * vms.length)
    }
  }), { seed: 39, numRuns: 300, endOnFailure: true })
})
