import { expect, test } from 'vitest'
import { type DatabaseView, type LogPosition } from '@briarpick/types'
import { createGroupKeeper } from '../src/createGroupKeeper.js'
import { type Target, type TargetSet } from '../src/createTargetSet.js'

const address = { host: '127.0.0.1', port: 1 }
const at = (offset: number): LogPosition => ({ term: 1, offset })

/** A keeper over fake targets: a primary and replicas whose positions and orders are seen. */
function createFake (view: DatabaseView) {
  const positions = new Map([['b', at(5)], ['c', at(5)]])
  const usable = new Set(['b', 'c'])
  const orders: string[] = []
  const state = { view, acknowledged: at(5) }
  const targetOf = (instance: string) => ({
    member: view.members.find((member) => member.instance === instance),
    monitor: {
      knowledge: () => ({ reachability: 'ok', role: 'replica', term: state.view.term, position: positions.get(instance) ?? at(9) }),
      order: async (statement: string) => { orders.push(`${instance}: ${statement}`) },
      hurry: () => {},
    },
  }) as unknown as Target
  const targets = {
    get: targetOf,
    primary: () => undefined,
    all: () => [],
    isUsableReplica: (instance: string) => usable.has(instance),
  } as unknown as TargetSet
  const keeper = createGroupKeeper({
    database: 'd',
    targets,
    view: () => state.view,
    mayAct: () => true,
    wantedInSync: () => 1,
    acknowledged: () => state.acknowledged,
    isFloorKnown: () => true,
    onNews: () => {},
    onPromoted: () => {},
    onChange: () => {},
  })
  return { keeper, positions, usable, orders, state }
}

const VIEW: DatabaseView = {
  service: 's',
  database: 'd',
  term: 1,
  state: 'open',
  primary: 'a',
  inSync: ['b'],
  members: ['a', 'b', 'c'].map((instance) => ({ instance, dataCentre: 'x', address, state: 'serving' as const })),
  home: { proxy: 'p', address, epoch: 1 },
  homeEpoch: 1,
  changedAt: 1,
}

test('a replica that control was asked to name stays required until control has named it', () => {
  const { keeper, usable, state } = createFake(VIEW)
  usable.delete('b')
  keeper.tend()
  expect(keeper.askInSync()).toEqual(['c'])
  usable.add('b')
  keeper.tend()
  expect(keeper.required()).toEqual(['b', 'c'])
  state.view = { ...VIEW, inSync: ['c'] }
  keeper.tend()
  expect(keeper.required()).toEqual(['c'])
})

test('an in-sync replica that came back without what was acknowledged is not promoted', () => {
  const { keeper, positions, orders } = createFake({ ...VIEW, state: 'promoting', term: 2, primary: null })
  positions.set('b', at(2))
  keeper.tend()
  expect(orders).toEqual([])
  positions.set('b', at(5))
  keeper.tend()
  expect(orders).toEqual(['b: SELECT group_promote(2)'])
})
