import { expect, test } from 'vitest'
import { type Announcement, ORIGIN } from '@briarpick/types'
import { createAnnouncementTracker } from '../src/index.js'

const announcement = (startedAt: number, sequence: number, instance = 'a'): Announcement => ({
  service: 's',
  database: 'd',
  instance,
  dataCentre: 'centro',
  address: { host: '127.0.0.1', port: 1 },
  role: 'replica',
  term: 0,
  position: ORIGIN,
  state: 'serving',
  startedAt,
  sequence,
})

test('an announcement that was sent before the latest one is not recorded, whether of the same process or of an earlier one', () => {
  const tracker = createAnnouncementTracker()
  expect(tracker.heardAt('d', 'a')).toBe(-Infinity)
  expect(tracker.record(announcement(100, 5), 1)).toBe(true)
  expect(tracker.record(announcement(100, 4), 2)).toBe(false)
  expect(tracker.record(announcement(99, 9), 3)).toBe(false)
  expect(tracker.heardAt('d', 'a')).toBe(1)
  expect(tracker.record(announcement(100, 5), 4)).toBe(true)
  expect(tracker.record(announcement(101, 1), 5)).toBe(true)
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
