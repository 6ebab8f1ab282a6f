import { expect, test } from 'vitest'
import { type DatabaseView } from '@briarpick/types'
import { createHomePlacement } from '../src/createHomePlacement.js'

function viewOf (epoch: number, database = 'd'): DatabaseView {
  return {
    service: database,
    database,
    term: 3,
    state: 'open',
    primary: null,
    inSync: [],
    heir: null,
    homeEpoch: epoch,
    changedAt: 1,
    members: [],
    home: epoch === 0 ? null : { proxy: `vm-${epoch}#x`, address: { host: '10.0.0.1', port: 1 }, epoch },
  }
}

const MOVE = { reason: 'fitter', from: 'vm-1#x', to: 'vm-2#x', fromScore: 0.1, toScore: 0.8 } as const

test('a home is known since its first evaluation under its epoch, and not while it is being moved', () => {
  const placement = createHomePlacement({ views: () => [] })
  expect(placement.homeSince(viewOf(0), 50)).toBeUndefined()
  expect(placement.homeSince(viewOf(1), 100)).toBe(100)
  expect(placement.homeSince(viewOf(1), 900)).toBe(100)
  placement.beginMove(viewOf(1), MOVE, 1000)
  expect(placement.homeSince(viewOf(1), 1200)).toBeUndefined()
  expect(placement.homeSince(viewOf(2), 1300)).toBe(1300)
})

test('a move that the home does not carry out within two seconds may be decided again', () => {
  const placement = createHomePlacement({ views: () => [] })
  expect(placement.homeSince(viewOf(1), 1000)).toBe(1000)
  placement.beginMove(viewOf(1), MOVE, 1000)
  expect(placement.homeSince(viewOf(1), 2900)).toBeUndefined()
  expect(placement.homeSince(viewOf(1), 3000)).toBe(1000)
  placement.clear()
  expect(placement.homeSince(viewOf(1), 3100)).toBe(3100)
})

test('homes count where they are about to be, but a database that is being moved finds its own home where it is', () => {
  const views = [viewOf(1, 'a'), viewOf(1, 'b'), viewOf(0, 'c')]
  const placement = createHomePlacement({ views: () => views })
  const counts = (view: DatabaseView) => Object.fromEntries(placement.homeCounts(view, 1000))
  expect(counts(views[0])).toEqual({ 'vm-1#x': 2 })
  placement.beginMove(views[0], MOVE, 1000)
  placement.setPending('c', 'vm-3#x')
  expect(counts(views[1])).toEqual({ 'vm-1#x': 1, 'vm-2#x': 1, 'vm-3#x': 1 })
  expect(counts(views[0])).toEqual({ 'vm-1#x': 2, 'vm-3#x': 1 })
  placement.setPending('c', undefined)
  expect(counts(views[1])).toEqual({ 'vm-1#x': 1, 'vm-2#x': 1 })
})
