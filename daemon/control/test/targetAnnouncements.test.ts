import { expect, test } from 'vitest'
import { type DatabaseView, type Member } from '@briarpick/types'
import { EMPTY_STATE } from '@briarpick/consensus-state'
import { createMetrics } from '@briarpick/metrics'
import { createTargetAnnouncements } from '../src/createTargetAnnouncements.js'
import { VIEW } from './startLeaderDuties.js'

const member = (instance: string): Member => ({
  instance, dataCentre: 'c', address: { host: '127.0.0.1', port: 1 }, state: 'serving', startedAt: 100, slots: 2,
})
const view = (database: string, ...instances: readonly string[]): DatabaseView => ({ ...VIEW, database, members: instances.map(member) })

// Guards against a target that has left and stays in its view, since the view of another database has one with its id.
test('a withdrawal, which names an id only, counts for the targets with this id in all databases', () => {
  const poked: Array<string | undefined> = []
  const targets = createTargetAnnouncements({
    node: {
      state: () => ({ ...EMPTY_STATE, views: { foreign: view('foreign', 'a'), d: view('d', 'a', 'b') } }),
      propose: async () => ({ kind: 'unchanged' }),
    },
    metrics: createMetrics(),
    poke: (proxy) => { poked.push(proxy) },
  })
  targets.withdraw('a')
  expect(targets.hasWithdrawn('foreign', 'a', 100)).toBe(true)
  expect(targets.hasWithdrawn('d', 'a', 100)).toBe(true)
  expect(targets.hasWithdrawn('d', 'b', 100)).toBe(false)
  expect(poked).toHaveLength(2)
})
