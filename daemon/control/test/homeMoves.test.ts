import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, expect, test } from 'vitest'
import { type HomeReport, ORIGIN } from '@briarpick/types'
import { type LeaderDuties } from '../src/createLeaderDuties.js'
import { startLeaderDuties } from './startLeaderDuties.js'

/** Time after which a home and a proxy count as settled, with room for timers that run late, in ms. */
const SETTLED_MS = 900
let duties: LeaderDuties | undefined

afterEach(async () => { await duties?.close() })

function startDuties () {
  const started = startLeaderDuties()
  duties = started.duties
  return started
}

const REPORT: HomeReport = {
  database: 'd', epoch: 1, term: 3, targets: [], committed: ORIGIN, promoted: null, wantInSync: null, released: false,
}

test('the answer to a renewal that states an overload names the homes to release, and the released home goes to the other VM', async () => {
  const { renew, home } = startDuties()
  expect(renew('vm-2', { homeFitness: 1 })).toEqual([])
  expect(renew('vm-1', { homeFitness: 1, homes: [REPORT] })).toEqual([])
  await sleep(SETTLED_MS)
  expect(renew('vm-1', { homeFitness: 1, homes: [REPORT] })).toEqual([])
  expect(renew('vm-1', { homeFitness: 1, overloaded: true, homes: [REPORT] })).toEqual(['d'])
  expect(home()).toBe('vm-1#x')
  expect(renew('vm-1', { homeFitness: 1, overloaded: true, homes: [{ ...REPORT, released: true }] })).toEqual([])
  expect(home()).toBe('vm-2#x')
})

// Guards against SHORT: the home of a small VM was never asked to release its database, although a large VM held a lease.
test('the home of a VM that suits none is asked once to release its database when a fit VM holds a lease', async () => {
  const { renew, home } = startDuties()
  renew('vm-2', { homeFitness: 1 })
  renew('vm-1', { homeFitness: 0.1, homes: [REPORT] })
  await sleep(SETTLED_MS)
  expect(renew('vm-1', { homeFitness: 0.1, homes: [REPORT] })).toEqual(['d'])
  expect(renew('vm-1', { homeFitness: 0.1, homes: [REPORT] })).toEqual([])
  renew('vm-1', { homeFitness: 0.1, homes: [{ ...REPORT, released: true }] })
  expect(home()).toBe('vm-2#x')
})
