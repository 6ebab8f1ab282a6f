import fc from 'fast-check'
import { expect, test } from 'vitest'
import { type Announcement } from '@briarpick/types'
import { createAnnouncements, createAnnouncementTracker, PREVAILS_AFTER_MS, targetKey } from '../src/index.js'
import { ANNOUNCEMENT } from './announcement.js'

const announcement = (startedAt: number, sequence: number, instance = 'a'): Announcement => ({ ...ANNOUNCEMENT, instance, startedAt, sequence })

test('an announcement that was sent before the latest one is not recorded, whether of the same process or of an earlier one', () => {
  const tracker = createAnnouncementTracker()
  expect(tracker.heardAt('d', 'a')).toBe(-Infinity)
  expect(tracker.record(announcement(100, 5), 1)).toBe('latest')
  expect(tracker.record(announcement(100, 4), 2)).toBe('outdated')
  expect(tracker.record(announcement(99, 9), 3)).toBe('outdated')
  expect(tracker.heardAt('d', 'a')).toBe(1)
  expect(tracker.record(announcement(100, 5), 4)).toBe('latest')
  expect(tracker.record(announcement(101, 1), 5)).toBe('latest')
  expect(tracker.latest('d', 'a')).toMatchObject({ startedAt: 101, sequence: 1 })
  expect(tracker.heardAt('d', 'a')).toBe(5)
})

test('the targets that were not heard for longest are forgotten, so that foreign names cannot fill the memory', () => {
  const tracker = createAnnouncementTracker()
  tracker.record(announcement(1, 1, 'old'), 0)
  tracker.record(announcement(1, 1, 'kept'), 1)
  for (let i = 0; i < 16_383; i += 1) {
    tracker.record(announcement(1, i, 'kept'), i)
    tracker.record(announcement(1, 1, `foreign-${i}`), i)
  }
  expect(tracker.heardAt('d', 'old')).toBe(-Infinity)
  expect(tracker.heardAt('d', 'kept')).toBe(16_382)
})

/** Records an announcement every 1.2 s up to a time; returns the standing of each. */
function goOn (
  tracker: ReturnType<typeof createAnnouncementTracker>,
  opts: { startedAt: number, from: number, to: number, memberStartedAt?: number }
) {
  const standings = []
  for (let now = opts.from, sequence = 10; now <= opts.to; now += 1200, sequence += 1) {
    standings.push(tracker.record(announcement(opts.startedAt, sequence), now, opts.memberStartedAt))
  }
  return standings
}

// Guards against machines that stop following the list of targets: two foreign entries outranked running targets until control restarted.
test('a process that goes on announcing itself prevails over an entry that claims to be later and is not heard again', () => {
  for (const claim of [announcement(100, 2 ** 48), announcement(200, 1)]) {
    const tracker = createAnnouncementTracker()
    tracker.record(announcement(100, 9), 0)
    expect(tracker.record(claim, 1000)).toBe('latest')
    const standings = goOn(tracker, { startedAt: 100, from: 2000, to: 2000 + PREVAILS_AFTER_MS + 1200 })
    expect(standings.slice(0, -1).every((standing) => standing === 'outdated')).toBe(true)
    expect(standings.at(-1)).toBe('prevails')
    expect(tracker.record(announcement(100, 100), 20_000)).toBe('latest')
  }
})

test('the same holds for a start in the view that this leader has not heard of itself', () => {
  const standings = goOn(createAnnouncementTracker(), { startedAt: 100, from: 0, to: PREVAILS_AFTER_MS + 1200, memberStartedAt: 300 })
  expect(standings[0]).toBe('outdated')
  expect(standings.at(-1)).toBe('prevails')
})

test('announcements of an ended process that were held up do not prevail: a few, or while its successor is heard, or without rising', () => {
  const tracker = createAnnouncementTracker()
  tracker.record(announcement(200, 1), 0)
  for (let i = 0; i < 20; i += 1) expect(tracker.record(announcement(100, 10 + i), 100 + i)).toBe('outdated')
  // The successor is heard every 6 s at least.
  for (let now = 6000, i = 2; now < 60_000; now += 6000, i += 1) {
    for (let step = 0; step < 6000; step += 1200) expect(tracker.record(announcement(100, now + step), now - 6000 + 200 + step)).toBe('outdated')
    expect(tracker.record(announcement(200, i), now)).toBe('latest')
  }
  for (let now = 60_000; now < 90_000; now += 1200) expect(tracker.record(announcement(100, 5), now)).toBe('outdated')
})

test('a withdrawal holds until a process that serves announces itself; late announcements of the process that leaves do not end it', () => {
  const tracker = createAnnouncementTracker()
  const leaving = (sequence: number, startedAt = 100) => ({ ...announcement(startedAt, sequence), state: 'leaving' as const })
  tracker.record(leaving(5), 0)
  tracker.recordWithdrawal('d', 'a', 100)
  expect(tracker.hasWithdrawn('d', 'a')).toBe(true)
  tracker.record(leaving(6), 1)
  tracker.record(announcement(100, 4), 2)
  expect(tracker.hasWithdrawn('d', 'a')).toBe(true)
  for (const later of [announcement(100, 7), announcement(200, 1), leaving(1, 200)]) {
    const restarted = createAnnouncementTracker()
    restarted.record(leaving(6), 1)
    restarted.recordWithdrawal('d', 'a', 100)
    expect(restarted.record(later, 3)).toBe('latest')
    expect(restarted.hasWithdrawn('d', 'a')).toBe(false)
  }
})

test('what a leader knew of an earlier process holds no more once the view has a later one, added under another leader', () => {
  const tracker = createAnnouncementTracker()
  tracker.record(announcement(100, 5), 0)
  tracker.recordWithdrawal('d', 'a', 100)
  expect(tracker.hasWithdrawn('d', 'a', 100)).toBe(true)
  expect(tracker.hasWithdrawn('d', 'a', 200)).toBe(false)
  expect(tracker.record(announcement(100, 6), 1, 200)).toBe('outdated')
  expect(tracker.record(announcement(200, 2), 2, 200)).toBe('latest')
})

test('a process that prevailed does so until the view has it, also if the first proposal failed', () => {
  const tracker = createAnnouncementTracker()
  tracker.record(announcement(200, 1), 0)
  expect(goOn(tracker, { startedAt: 100, from: 1000, to: 1000 + PREVAILS_AFTER_MS + 1200, memberStartedAt: 200 }).at(-1)).toBe('prevails')
  expect(tracker.record(announcement(100, 100), 13_000, 200)).toBe('prevails')
  expect(tracker.record(announcement(100, 101), 14_000, 100)).toBe('latest')
  expect(tracker.record(announcement(300, 1), 15_000, 100)).toBe('latest')
  expect(tracker.record(announcement(100, 102), 16_000, 300)).toBe('outdated')
})

// Guards against the removal of a running replica: another target whose database and instance are joined to the same text was withdrawn.
test('targets whose names are the same when joined are kept apart', () => {
  const tracker = createAnnouncementTracker()
  expect(tracker.record({ ...announcement(100, 5, 'b/c'), database: 'a' }, 1)).toBe('latest')
  tracker.recordWithdrawal('a', 'b/c')
  expect(tracker.hasWithdrawn('a', 'b/c')).toBe(true)
  expect(tracker.hasWithdrawn('a/b', 'c')).toBe(false)
  expect(tracker.heardAt('a/b', 'c')).toBe(-Infinity)
  expect(tracker.record({ ...announcement(90, 1, 'c'), database: 'a/b' }, 2)).toBe('latest')
  expect(tracker.latest('a', 'b/c')).toMatchObject({ startedAt: 100, sequence: 5 })
})

test('the announcements of targets whose names are the same when joined are both pending', () => {
  const announcements = createAnnouncements({ lifetimeMs: 1000, maxTargets: 2 })
  const sent = [{ ...ANNOUNCEMENT, database: 'a', instance: 'b/c' }, { ...ANNOUNCEMENT, database: 'a/b', instance: 'c' }]
  for (const each of sent) announcements.record(each, 0)
  expect(announcements.pending(() => undefined, 1)).toEqual(sent)
})

test('no two targets have the same key', () => {
  const name = fc.oneof(fc.string(), fc.string({ unit: fc.constantFrom('/', '"', ',', '\\', 'a') }))
  const target = fc.tuple(name, name)
  fc.assert(fc.property(target, target, (a, b) => {
    expect(targetKey(...a) === targetKey(...b)).toBe(a[0] === b[0] && a[1] === b[1])
  }), { seed: 20261206, numRuns: 2000, endOnFailure: true })
})
