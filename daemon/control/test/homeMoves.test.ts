import { expect, test } from 'vitest'
import { type DatabaseView } from '@briarpick/types'
import { createHomeMoves } from '../src/createHomeMoves.js'

function viewOf (epoch: number): DatabaseView {
  return {
    service: 'd',
    database: 'd',
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
  const moves = createHomeMoves()
  expect(moves.homeSince(viewOf(0), 50)).toBeUndefined()
  expect(moves.homeSince(viewOf(1), 100)).toBe(100)
  expect(moves.homeSince(viewOf(1), 900)).toBe(100)
  moves.begin(viewOf(1), MOVE, 1000)
  expect(moves.homeSince(viewOf(1), 1200)).toBeUndefined()
  expect(moves.destination(viewOf(1), 1200)).toBe('vm-2#x')
  expect(moves.homeSince(viewOf(2), 1300)).toBe(1300)
  expect(moves.destination(viewOf(2), 1300)).toBeUndefined()
})

test('a move that the home does not carry out within two seconds may be decided again', () => {
  const moves = createHomeMoves()
  moves.begin(viewOf(1), MOVE, 1000)
  expect(moves.destination(viewOf(1), 2900)).toBe('vm-2#x')
  expect(moves.destination(viewOf(1), 3000)).toBeUndefined()
  expect(moves.homeSince(viewOf(1), 3000)).toBe(1000)
  moves.clear()
  expect(moves.homeSince(viewOf(1), 3100)).toBe(3100)
})
