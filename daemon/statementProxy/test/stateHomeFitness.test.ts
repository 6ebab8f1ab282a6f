import { expect, test } from 'vitest'
import { type DatabaseView } from '@briarpick/types'
import { chooseHomeByFitness, type LiveProxy } from '@briarpick/failover'
import { stateHomeFitness } from '../src/stateHomeFitness.js'

const VIEW: DatabaseView = {
  service: 'd',
  database: 'd',
  term: 3,
  state: 'open',
  primary: null,
  inSync: [],
  heir: null,
  homeEpoch: 1,
  changedAt: 1,
  members: [],
  home: null,
}

function vm (name: string, homeFitness: number, isOverloaded: boolean): LiveProxy {
  const linkAddress = { host: name, port: 1 }
  const stated = stateHomeFitness({ homeFitness, isOverloaded })
  return { proxy: `${name}#x`, dataCentre: 'centro', linkAddress, leaving: false, ...stated, recentlyOverloaded: stated.overloaded }
}

const SMALL = Array.from({ length: 20 }, (_, n) => vm(`small-${n}`, 0.1, false))

// Guards against SHORT: an overload of all large VMs at once made idle small VMs the first choice for their homes.
test('while all large VMs are overloaded, homes are placed on them rather than on idle VMs with a fraction of their capacity', () => {
  const large = [1, 2, 3].map((n) => vm(`large-${n}`, 0.8, true))
  const homes = new Map(large.map(({ proxy }) => [proxy, 1]))
  expect(chooseHomeByFitness(VIEW, [...SMALL, ...large], undefined, homes)?.proxy).toBe('large-1#x')
})

test('an overloaded VM is chosen after all VMs of comparable capacity', () => {
  const peers = [vm('large-1', 0.8, true), vm('large-2', 0.8, false)]
  expect(chooseHomeByFitness(VIEW, [...SMALL, ...peers], undefined, new Map([['large-2#x', 1]]))?.proxy).toBe('large-2#x')
})
