import { expect, test } from 'vitest'
import { rendezvousScore } from '../src/rendezvousScore.js'

const PROXIES = Array.from({ length: 10 }, (_, i) => `edge-${i}`)
const DATABASES = Array.from({ length: 2000 }, (_, i) => `db${i}`)

function homeOf (database: string, proxies: readonly string[]): string {
  return [...proxies].sort((a, b) => rendezvousScore(b, database) - rendezvousScore(a, database))[0]
}

test('each proxy gets between half and one and a half times its share of the databases', () => {
  const counts = new Map<string, number>()
  for (const database of DATABASES) {
    const home = homeOf(database, PROXIES)
    counts.set(home, (counts.get(home) ?? 0) + 1)
  }
  for (const proxy of PROXIES) expect(counts.get(proxy)).toBeGreaterThan(100)
  for (const proxy of PROXIES) expect(counts.get(proxy)).toBeLessThan(300)
})

test('removing a proxy moves only its own databases', () => {
  const [removed, ...remaining] = PROXIES
  for (const database of DATABASES) {
    const before = homeOf(database, PROXIES)
    if (before !== removed) expect(homeOf(database, remaining)).toBe(before)
  }
})
