import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, expect, test } from 'vitest'
import { type Announcement, type DatabaseView, type HomeReport, type Member, ORIGIN, type TargetReport } from '@briarpick/types'
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

function startDuties (leadsForMs = MINUTE_MS) {
  const started = startLeaderDuties({ view: GROUP, leadsForMs })
  duties = started.duties
  return {
    ...started,
    /** Has the home report replica b; resolves with the members of the view some evaluations later. */
    async report (change: Partial<TargetReport>) {
      started.renew('vm-1', { homes: [{ ...REPORT, targets: [{ ...REPORT.targets[0], ...change }] }] })
      await sleep(EVALUATIONS_MS)
      return started.members()
    },
  }
}

/** Has the home report a target as silent for longer than the removal time; the target has announced itself or not. */
async function reportSilence (announces: boolean) {
  const { announce, report } = startDuties()
  if (announces) await announce(ANNOUNCEMENT)
  return await report({})
}

// Guards against LOST: a replica that only its home does not reach was removed, and went on confirming commits of the primary.
test('a target that announces itself without a change stays in the view, although its home does not reach it', async () => {
  expect(await reportSilence(true)).toEqual(['a', 'b'])
  expect(await reportSilence(false)).toEqual(['a'])
})

// Guards against LOST: the DELETE of an earlier process, handled late by a frozen machine, removed and banned the running one of its name.
test('a withdrawal that is handled late changes nothing of a running target', async () => {
  const { announce, withdraw, report, members, states } = startDuties()
  withdraw('b')
  expect(members()).toEqual(['a', 'b'])
  expect(states()).toEqual(['serving', 'serving'])
  expect(await report({ reachability: 'ok', silentMs: 0 })).toEqual(['a', 'b'])
  expect(await announce({ ...ANNOUNCEMENT, sequence: 8 })).toBe(true)
  expect(await report({ reachability: 'refused', silentMs: 3000 })).toEqual(['a', 'b'])
})

test('a withdrawal of the primary does not make it leave while it serves', () => {
  const { withdraw, states } = startDuties()
  withdraw('a')
  expect(states()).toEqual(['serving', 'serving'])
})

test('a target that withdraws is removed once nothing listens at its address, and late announcements of its process do not count', async () => {
  const { announce, withdraw, report } = startDuties()
  await announce({ ...ANNOUNCEMENT, state: 'leaving' })
  withdraw('b')
  await announce({ ...ANNOUNCEMENT, state: 'leaving', sequence: 8 })
  expect(await report({ reachability: 'refused', silentMs: 100 })).toEqual(['a', 'b'])
  expect(await report({ reachability: 'refused', silentMs: 600 })).toEqual(['a'])
  expect(await announce({ ...ANNOUNCEMENT, sequence: 9 })).toBe(false)
  expect(await announce({ ...ANNOUNCEMENT, startedAt: 2000, sequence: 1 })).toBe(true)
})

test('a target that withdraws and is silent is removed once a running one would have announced itself', async () => {
  expect(await startReport(6000)).toEqual(['a', 'b'])
  await duties?.close()
  expect(await startReport(8000)).toEqual(['a'])
})

/** Members of the view under a leader that has led for a time, in ms, and heard no announcement of the withdrawn target. */
async function startReport (leadsForMs: number) {
  const { withdraw, report } = startDuties(leadsForMs)
  withdraw('b')
  return await report({ reachability: 'silent', silentMs: 3000 })
}
