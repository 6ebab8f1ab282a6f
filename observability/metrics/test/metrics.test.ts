import { expect, test } from 'vitest'
import { createMetrics } from '../src/index.js'

test('the snapshot has counters by reason and latencies; the page has these and gauges, and can be rendered repeatedly', async () => {
  const metrics = createMetrics()
  metrics.count('refusals', 'ERR_A')
  metrics.count('refusals', 'ERR_A')
  metrics.count('retries', 'home_moved')
  metrics.latency('read', 2)
  metrics.gauge('callers', () => 7)
  expect(metrics.snapshot().counters).toEqual({ 'refusals.ERR_A': 2, 'retries.home_moved': 1 })
  expect(metrics.snapshot().latencies.read.p50).toBeCloseTo(2, 1)
  for (let i = 0; i < 2; i++) {
    const page = await metrics.page()
    expect(page).toContain('briarpick_refusals_total{reason="ERR_A"} 2')
    expect(page).toContain('briarpick_callers 7')
    expect(page).toContain('briarpick_read_ms{quantile="0.5"}')
  }
})
