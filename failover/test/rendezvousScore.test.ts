import { expect, test } from 'vitest'
import { rendezvousScore } from '../src/rendezvousScore.js'

const PROXIES = Array.from({ length: 10 }, (_, i) => `edge-${i}`)
const DATABASES = Array.from({ length: 2000 }, (_, i) => `db${i}`)

function homeOf (database: string, proxies: readonly string[]): string {
  return [...proxies].sort((a, b) => rendezvousScore(b, database) - rendezvousScore(a, database))[0]
}

test('databases spread over the proxies, none with half as much again as its share', () => {
  const counts = new Map<string, number>()
  for (const database of DATABASES) {
    const home = homeOf(database, PROXIES)
    counts.set(home, (counts.get(home) ?? 0) + 1)
  }
  for (const proxy of PROXIES) expect(counts.get(proxy)).toBeGreaterThan(100)
  for (const proxy of PROXIES) expect(counts.get(proxy)).toBeLessThan(300)
})

test('a proxy that goes moves only its own databases', () => {
  const [gone, ...left] = PROXIES
  for (const database of DATABASES) {
    const before = homeOf(database, PROXIES)
    if (before !== gone) expect(homeOf(database, left)).toBe(before)
  }
})
