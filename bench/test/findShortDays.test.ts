import { expect, test } from 'vitest'
import { findShortDays } from '../src/findShortDays.js'

const day = (name: string, served: number | null, kinds: ReadonlyArray<number | null>, dataCentres: readonly number[] = [0.9]) =>
  ({ name, served, by_class: kinds, by_zone: dataCentres, rules: {} })
const entryOf = (...days: ReadonlyArray<ReturnType<typeof day>>) => JSON.stringify({ v: 1, id: 'abc', site: 'a-site', why: 'a hunt', days })

// Guards against SHORT passing unseen: a day of a hunt served 0.439, one kind of request 0.363, and passed as no rule was broken.
test('a day without a broken rule is listed if it, a kind of request or a data centre earned less than the floor', () => {
  const short = day('short', 0.439, [0.596, 0.82, 0.363, null])
  const text = entryOf(day('good', 0.95, [0.9, null]), short, day('kind', 0.8, [0.9, 0.4]), day('place', 0.8, [0.9], [0.9, 0.1]))
  expect(findShortDays(text, 0.5)).toMatchObject([
    { entry: 'abc', site: 'a-site', why: 'a hunt', day: 'short', whole: 0.439, leastKind: 0.363, leastDataCentre: 0.9 },
    { day: 'kind', leastKind: 0.4 },
    { day: 'place', leastDataCentre: 0.1 },
  ])
})

test('days that were not played to their end are left out, and an unreadable entry is an error', () => {
  expect(findShortDays(entryOf(day('ended early', null, [])), 0.5)).toEqual([])
  expect(findShortDays(JSON.stringify({ id: 'abc', days: [] }), 0.5)).toEqual([])
  expect(() => findShortDays('{', 0.5)).toThrow()
})
