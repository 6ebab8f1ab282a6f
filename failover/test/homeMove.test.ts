import { expect, test } from 'vitest'
import { type DatabaseView, type HomeReport, ORIGIN } from '@briarpick/types'
import { decidePlatformGroupStep, type LiveProxy, type StepInput } from '../src/index.js'

const NOW = 60_000
const address = (port: number) => ({ host: `10.0.0.${port}`, port })
const member = (instance: string, port: number) => ({ instance, dataCentre: 'centro', address: address(port), state: 'serving' as const })
const vm = (name: string, homeFitness: number, change: Partial<LiveProxy> = {}): LiveProxy =>
  ({ proxy: `${name}#x`, dataCentre: 'centro', linkAddress: address(Number(name.split('-')[1])), leaving: false, homeFitness, leasedSince: 0, ...change })
const LARGE = [1, 2, 3, 4, 5].map((n) => vm(`large-${n}`, 0.8))
const SMALL = Array.from({ length: 78 }, (_, n) => vm(`small-${100 + n}`, 0.1))

/** The step for a database whose home is on `home`, which has held it for 40 s unless stated otherwise. */
function stepAt (home: LiveProxy, proxies: readonly LiveProxy[], homes: Readonly<Record<string, number>>, change: Partial<StepInput> = {}) {
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
    home: { proxy: home.proxy, address: home.linkAddress, epoch: 2 },
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

// Guards against SHORT: the VM that was back first after a restart kept the homes of all databases.
test('homes that one VM took alone are spread over the VMs that have come back', () => {
  expect(stepAt(LARGE[0], LARGE, { 'large-1': 6 }).homeMove).toMatchObject({ reason: 'fitter', to: 'large-2#x' })
  expect(stepAt(LARGE[0], LARGE, { 'large-1': 2, 'large-2': 1, 'large-3': 1, 'large-4': 1, 'large-5': 1 }).releaseHome).toBe(false)
})
