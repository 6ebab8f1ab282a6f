import { expect, test } from 'vitest'
import { type DatabaseView } from '@briarpick/types'
import { ANNOUNCEMENT_REFRESH_MS, createAnnouncementFilter } from '../src/index.js'
import { ANNOUNCEMENT } from './announcement.js'

const { instance, dataCentre, address, state, startedAt, slots } = ANNOUNCEMENT
const VIEW: DatabaseView = {
  service: 's',
  database: 'd',
  term: 1,
  state: 'open',
  primary: 'p',
  inSync: [],
  members: [{ instance, dataCentre, address, state, startedAt, slots }],
  home: null,
  homeEpoch: 1,
  changedAt: 1,
}

test('an unchanged announcement of a target in the view is forwarded again only after the refresh time', () => {
  const filter = createAnnouncementFilter()
  expect(filter.mustForward(ANNOUNCEMENT, VIEW, 0)).toBe(true)
  filter.recordForwarded(ANNOUNCEMENT, 0)
  for (const view of [VIEW, 'unknown'] as const) {
    expect(filter.mustForward({ ...ANNOUNCEMENT, sequence: 2 }, view, 1200)).toBe(false)
    expect(filter.mustForward({ ...ANNOUNCEMENT, state: 'leaving' }, view, 1200)).toBe(true)
    expect(filter.mustForward(ANNOUNCEMENT, view, ANNOUNCEMENT_REFRESH_MS)).toBe(true)
  }
  filter.forget(instance)
  expect(filter.mustForward(ANNOUNCEMENT, VIEW, 1200)).toBe(true)
})

// Guards against LOST: the announcements of a removed replica that runs were acknowledged and not forwarded, for up to 5 s.
test('the next announcement of a target that control has removed meanwhile is forwarded at once', () => {
  const filter = createAnnouncementFilter()
  filter.recordForwarded(ANNOUNCEMENT, 0)
  expect(filter.mustForward(ANNOUNCEMENT, { ...VIEW, members: [] }, 10)).toBe(true)
  expect(filter.mustForward(ANNOUNCEMENT, undefined, 10)).toBe(true)
})
