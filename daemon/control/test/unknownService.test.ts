import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, expect, test } from 'vitest'
import { type LeaderDuties } from '../src/createLeaderDuties.js'
import { startLeaderDuties, VIEW } from './startLeaderDuties.js'

/** Time for some evaluations of a database, in ms. */
const EVALUATIONS_MS = 250
const HOMELESS = { ...VIEW, home: null, homeEpoch: 0 }
let duties: LeaderDuties | undefined

afterEach(async () => { await duties?.close() })

async function homeWith (configured: readonly string[]) {
  await duties?.close()
  const started = startLeaderDuties({ view: HOMELESS, configured })
  duties = started.duties
  started.renew('vm-1', {})
  await sleep(EVALUATIONS_MS)
  return started.home()
}

// Guards against UNASKED: a home connected to whatever address a heartbeat of another writer named for a service of its own.
test('a database that no configuration names gets no home, and gets one once it is named', async () => {
  expect(await homeWith(['other'])).toBeUndefined()
  expect(await homeWith(['other', 'd'])).toBe('vm-1#x')
})
