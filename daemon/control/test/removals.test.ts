import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, expect, test } from 'vitest'
import { type Announcement, type DatabaseView, type HomeReport, type Member, ORIGIN } from '@briarpick/types'
import { type LeaderDuties } from '../src/createLeaderDuties.js'
import { startLeaderDuties, VIEW } from './startLeaderDuties.js'

/** Time for some evaluations of a database, in ms. */
const EVALUATIONS_MS = 250
const MINUTE_MS = 60_000
const member = (instance: string, port: number): Member =>
  ({ instance, dataCentre: 'centro', address: { host: '127.0.0.1', port }, state: 'serving', startedAt: 1000, slots: 2 })
const GROUP: DatabaseView = { ...VIEW, members: [member('a', 1), member('b', 2)] }
const ANNOUNCEMENT: Announcement = {
  ...member('b', 2), service: 'd', database: 'd', role: 'replica', term: 0, position: ORIGIN, sequence: 7,
}
const REPORT: HomeReport = {
  database: 'd',
  epoch: 1,
  term: 3,
  targets: [{ instance: 'b', reachability: 'silent', silentMs: 31_000, role: 'replica', term: 3, position: ORIGIN }],
  committed: ORIGIN,
  promoted: null,
  wantInSync: null,
  released: false,
}
let duties: LeaderDuties | undefined

afterEach(async () => { await duties?.close() })

/** Has the home report a target as silent for longer than the removal time; the target has announced itself or not. */
async function reportSilence (announces: boolean) {
  const started = startLeaderDuties({ view: GROUP, leadsForMs: MINUTE_MS })
  duties = started.duties
  if (announces) await started.announce(ANNOUNCEMENT)
  started.renew('vm-1', { homes: [REPORT] })
  await sleep(EVALUATIONS_MS)
  return started.members()
}

// Guards against LOST: a replica that only its home does not reach was removed, and went on confirming commits of the primary.
test('a target that announces itself without a change stays in the view, although its home does not reach it', async () => {
  expect(await reportSilence(true)).toEqual(['a', 'b'])
  expect(await reportSilence(false)).toEqual(['a'])
})
