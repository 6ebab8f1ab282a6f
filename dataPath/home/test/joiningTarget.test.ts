import { expect, test } from 'vitest'
import { type DatabaseView, type Member } from '@briarpick/types'
import { createMetrics } from '@briarpick/metrics'
import { isRemovable } from '@briarpick/failover'
import { createTargetGroup } from '../src/createTargetGroup.js'
import { type TargetDriver } from '../src/targetDriver.js'

const HOUR_MS = 3_600_000
/** A driver whose connections are never established: the first packet of each is lost. */
const SILENT_DRIVER: TargetDriver = {
  connect: async () => await new Promise(() => {}),
  readStatus: () => undefined,
}
const member = (instance: string, port: number): Member =>
  ({ instance, dataCentre: 'centro', address: { host: '127.0.0.1', port }, state: 'serving', startedAt: port })
const VIEW: DatabaseView = {
  service: 'd', database: 'd', term: 1, state: 'open', primary: 'a', inSync: [], members: [member('a', 1)], home: null, homeEpoch: 1, changedAt: 1,
}

/** Starts the group of a home that has run for an hour and does not hear the targets that join it. */
function startOldGroup () {
  let now = 0
  const group = createTargetGroup(VIEW, {
    driver: SILENT_DRIVER,
    limits: () => ({ maxConnections: 1, transactionIdleMs: 1000, hasTeams: false }),
    now: () => now,
    dataCentre: 'centro',
    metrics: createMetrics(),
    missingMs: () => 0,
    onAvailable: () => {},
    onStatus: () => {},
    onConnected: () => {},
    onCopyLost: () => {},
    isUrgent: () => false,
  })
  now = HOUR_MS
  return {
    group,
    advance (ms: number) { now += ms },
    reportOf (instance: string) {
      const report = group.reports().find((each) => each.instance === instance)
      if (report === undefined) throw new Error(`no report of ${instance}`)
      return report
    },
  }
}

// Guards against LOST: control removed a replica on its arrival at an old home, and it went on confirming commits unknown to both.
test('a target that joins an old home counts as silent only since it joined, and is not removed before its first status', () => {
  const { group, advance, reportOf } = startOldGroup()
  const view = { ...VIEW, members: [...VIEW.members, member('b', 2)] }
  group.setView(view)
  expect(reportOf('b')).toMatchObject({ reachability: 'silent', silentMs: 0 })
  expect(isRemovable(reportOf('b'), view)).toBe(false)
  advance(29_000)
  expect(isRemovable(reportOf('b'), view)).toBe(false)
  group.close()
})

// Guards against LOST: the same removal of a replica that starts again under its id.
test('a target that starts again under its id counts as silent only since that start, whatever the home heard of its earlier process', () => {
  const { group, advance, reportOf } = startOldGroup()
  group.setView({ ...VIEW, members: [...VIEW.members, member('b', 2)] })
  advance(HOUR_MS)
  const view = { ...VIEW, members: [...VIEW.members, { ...member('b', 2), startedAt: 3 }] }
  group.setView(view)
  expect(reportOf('b').silentMs).toBe(0)
  // A change of state is no new start: it has been silent since it joined.
  advance(20_000)
  const leaving = { ...view, members: view.members.map((each) => each.instance === 'b' ? { ...each, state: 'leaving' as const } : each) }
  group.setView(leaving)
  advance(11_000)
  expect(reportOf('b').silentMs).toBe(31_000)
  expect(isRemovable(reportOf('b'), leaving)).toBe(true)
  group.close()
})
