import { expect, test } from 'vitest'
import { type DatabaseView, type LogPosition } from '@briarpick/types'
import { createGroupReconciler } from '../src/createGroupReconciler.js'
import { type Target, type TargetSet } from '../src/createTargetSet.js'

const address = { host: '127.0.0.1', port: 1 }
const at = (offset: number): LogPosition => ({ term: 1, offset })

/** Creates a reconciler over fake targets: a primary, and replicas with settable positions whose statements are recorded. */
function createFixture (view: DatabaseView) {
  const positions = new Map([['b', at(5)], ['c', at(5)]])
  const usable = new Set(['b', 'c'])
  const statements: string[] = []
  const state = { view, acknowledged: at(5) }
  const targetOf = (instance: string) => ({
    member: view.members.find((member) => member.instance === instance),
    monitor: {
      observation: () => ({ reachability: 'ok', role: 'replica', term: state.view.term, position: positions.get(instance) ?? at(9) }),
      execute: async (statement: string) => { statements.push(`${instance}: ${statement}`) },
      pollFast: () => {},
    },
  }) as unknown as Target
  const targets = {
    get: targetOf,
    primary: () => undefined,
    all: () => [],
    isUsableReplica: (instance: string) => usable.has(instance),
  } as unknown as TargetSet
  const reconciler = createGroupReconciler({
    database: 'd',
    targets,
    view: () => state.view,
    isActive: () => true,
    wantedInSync: () => 1,
    acknowledged: () => state.acknowledged,
    isFloorKnown: () => true,
    onReportChange: () => {},
    onPromoted: () => {},
    onRequirementChange: () => {},
  })
  return { reconciler, positions, usable, statements, state }
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

test('a replica requested for the in-sync set stays required until control has changed the set', () => {
  const { reconciler, usable, state } = createFixture(VIEW)
  usable.delete('b')
  reconciler.reconcile()
  expect(reconciler.requestInSync()).toEqual(['c'])
  usable.add('b')
  reconciler.reconcile()
  expect(reconciler.requiredReplicas()).toEqual(['b', 'c'])
  state.view = { ...VIEW, inSync: ['c'] }
  reconciler.reconcile()
  expect(reconciler.requiredReplicas()).toEqual(['c'])
})

test('an in-sync replica that lacks acknowledged writes is promoted only once it has them', () => {
  const { reconciler, positions, statements } = createFixture({ ...VIEW, state: 'promoting', term: 2, primary: null })
  positions.set('b', at(2))
  reconciler.reconcile()
  expect(statements).toEqual([])
  positions.set('b', at(5))
  reconciler.reconcile()
  expect(statements).toEqual(['b: SELECT group_promote(2)'])
})
