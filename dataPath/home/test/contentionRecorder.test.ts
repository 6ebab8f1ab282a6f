import { expect, test } from 'vitest'
import { type StatementRequest } from '@briarpick/types'
import { createMetrics } from '@briarpick/metrics'
import { createContentionRecorder } from '../src/createContentionRecorder.js'

const request = (team: string | null, priority: number) => ({ id: 'r', team, priority }) as unknown as StatementRequest

test('results are counted by priority and class of the team, not by team, so that the number of counters is bounded', () => {
  const metrics = createMetrics()
  const recorder = createContentionRecorder({ database: 'd', metrics })
  for (let team = 0; team < 1000; team += 1) recorder.record('served', request(`team ${team}`, 1), false)
  recorder.record('refused', request('team 7', 2), true)
  recorder.record('late', request(null, 0), false)
  expect(metrics.snapshot().counters).toEqual({
    'requests.served_priority_1_quiet': 1000,
    'requests.refused_priority_2_loud': 1,
    'requests.late_priority_0_none': 1,
  })
})
