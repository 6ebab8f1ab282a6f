import fc from 'fast-check'
import { expect, test } from 'vitest'
import { type DatabaseView, type HomeReport } from '@briarpick/types'
import { selectViews } from '../src/selectViews.js'

const viewOf = (database: string, changedAt: number, proxy: string): DatabaseView => ({
  service: 's', database, term: 1, state: 'open', primary: null, inSync: [], members: [], home: { proxy, address: { host: '127.0.0.1', port: 1 }, epoch: 1 }, homeEpoch: 1, changedAt,
})

test('each renewal returns all changed views of the proxy\'s own homes, and repeated renewals return all other views', () => {
  const arbitrary = fc.array(fc.constantFrom('p1', 'p2', 'p3'), { minLength: 1, maxLength: 40 })
  fc.assert(fc.property(arbitrary, fc.integer({ min: 1, max: 5 }), fc.nat(40), (homes, maxViews, heldIndex) => {
    const views = homes.map((proxy, i) => viewOf(`d${i}`, i + 1, proxy))
    const appliedIndex = views.length + 3
    const heldHome = { database: `d${heldIndex}` } as HomeReport
    const known = new Set<string>()
    let seen = 0
    for (let round = 0; round <= views.length; round++) {
      const selection = selectViews({ proxy: 'p1', seen, homes: [heldHome] }, { views: () => views, appliedIndex, maxViews })
      for (const { database } of selection.views) known.add(database)
      const own = views.filter((view) => view.home?.proxy === 'p1' || view.database === heldHome.database)
      for (const view of own) expect(known.has(view.database) || view.changedAt <= seen).toBe(true)
      for (const view of views) if (view.changedAt <= selection.index) expect(known.has(view.database)).toBe(true)
      expect(selection.index).toBeGreaterThan(seen)
      seen = selection.index
      if (!selection.more) break
    }
    expect(seen).toBe(appliedIndex)
    expect(known.size).toBe(views.length)
  }), { seed: 21, numRuns: 300, endOnFailure: true })
})
