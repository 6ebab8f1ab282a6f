import { expect, test } from 'vitest'
import fc from 'fast-check'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { createStatementTargetPool, type PooledConnection } from '../src/createStatementTargetPool.js'
import { type ConnectionNeed, selectUnserved } from '../src/selectUnserved.js'
import { type ConnectRequest, type TargetDriver, type TargetLink } from '../src/targetDriver.js'

const FUZZ = { seed: 20261204, numRuns: 300, endOnFailure: true }
const SLOTS = 3

/** A driver whose connections open when `settle` is called, and that records the team of each open one. */
function createFakeDriver () {
  const open = new Map<TargetLink, string | null>()
  let opened = 0
  const waiting: Array<() => void> = []
  function createLink (): TargetLink {
    const listeners: Array<() => void> = []
    const link: TargetLink = {
      run: async () => { throw new Error('not used') },
      isOpen: () => open.has(link),
      onClose: (listener) => { listeners.push(listener) },
      close () {
        if (open.delete(link)) for (const listener of listeners) listener()
      },
    }
    return link
  }
  const driver: TargetDriver = {
    connect: ({ team }: ConnectRequest) => new Promise((resolve) => {
      waiting.push(() => {
        const link = createLink()
        open.set(link, team)
        opened += 1
        resolve({ kind: 'open', link })
      })
    }),
    readStatus: () => undefined,
  }
  return {
    driver,
    open,
    opened: () => opened,
    async settle () {
      for (const finish of waiting.splice(0)) finish()
      await new Promise((resolve) => setImmediate(resolve))
    },
  }
}

function createPool (maxConnections: number, hasTeams = true) {
  const fake = createFakeDriver()
  const pool = createStatementTargetPool({
    address: { host: '127.0.0.1', port: 1 },
    database: 'd',
    instance: 'i',
    driver: fake.driver,
    slots: SLOTS,
    maxConnections: () => maxConnections,
    hasTeams: () => hasTeams,
    onAvailable: () => {},
    onTeamConnection: () => {},
    onConnectionFailure: () => {},
  })
  return { ...fake, pool }
}

test('with many teams on few connections, a connection serves one team only, and neither the limit nor the slots are exceeded', async () => {
  const step = fc.record({ team: fc.constantFrom('a', 'b', 'c', 'd', 'e', null), kind: fc.constantFrom('use', 'use', 'return', 'settle') })
  await fc.assert(fc.asyncProperty(fc.array(step, { maxLength: 60 }), fc.integer({ min: 5, max: 12 }), async (steps, maxConnections) => {
    const { pool, open, settle } = createPool(maxConnections)
    const inUse: PooledConnection[] = []
    for (const { team, kind } of steps) {
      if (kind === 'settle') await settle()
      const returned = kind === 'return' ? inUse.shift() : undefined
      if (returned !== undefined) {
        pool.releaseSlot()
        pool.release(returned)
      }
      if (kind !== 'use') continue
      const connection = pool.acquire(team, [])
      if (connection === undefined) pool.open(team)
      else {
        expect(open.get(connection.link)).toBe(team)
        expect(inUse).not.toContain(connection)
        inUse.push(connection)
      }
      expect(pool.active()).toBeLessThanOrEqual(pool.capacity())
      expect(pool.connections()).toBeLessThanOrEqual(maxConnections)
    }
  }), FUZZ)
})

test('at the limit the least recently used idle connection of another team is closed for a team that needs one', async () => {
  const { pool, open, settle } = createPool(2 * (SLOTS + 1))
  for (const team of ['a', 'b', 'c', 'e']) {
    pool.open(team)
    await settle()
  }
  const used = pool.acquire('a', [])
  pool.releaseSlot()
  if (used !== undefined) pool.release(used)
  pool.open('d')
  await settle()
  expect([...open.values()].sort()).toEqual(['a', 'c', 'd', 'e'])
  expect(pool.canAcquire('b')).toBe(false)
  expect(pool.canAcquire('a')).toBe(true)
})

test('a team whose connections are all in use never takes the connection of a running statement of another team', async () => {
  const { pool, settle } = createPool(2 * (SLOTS + 1))
  for (let i = 0; i <= SLOTS; i += 1) {
    pool.open('a')
    await settle()
    expect(pool.acquire('a', [])).toBeDefined()
  }
  expect(pool.canOpen('b')).toBe(false)
})

test('opening connections takes at most half of the slots, and a team has at most as many as run at once', async () => {
  const { pool, open, settle } = createPool(40)
  for (let i = 0; i < 10; i += 1) pool.open('a')
  expect(pool.opening('a')).toBe(2)
  expect(pool.hasFreeSlot()).toBe(true)
  for (let i = 0; i < 10; i += 1) {
    await settle()
    pool.open('a')
  }
  await settle()
  expect(open.size).toBe(SLOTS + 1)
})

test('without teams connections are opened in advance, and with teams none is', async () => {
  const { pool, open, settle } = createPool(40, false)
  pool.preconnect()
  await settle()
  expect([...open.values()]).toEqual(Array.from({ length: SLOTS + 2 }, () => null))
  const withTeams = createPool(40)
  withTeams.pool.preconnect()
  await withTeams.settle()
  expect(withTeams.open.size).toBe(0)
})

test('with many teams, each request without a connection gets one opened, unless one that is being opened will serve it', () => {
  const need = fc.record({ team: fc.constantFrom('a', 'b', null), needsPrimary: fc.boolean() })
  const opening = fc.dictionary(fc.constantFrom('a/true', 'a/false', 'b/true', 'null/false'), fc.nat({ max: 3 }))
  fc.assert(fc.property(fc.array(need, { maxLength: 12 }), opening, (needs, counts) => {
    const openingFor = ({ team, needsPrimary }: ConnectionNeed) => counts[`${team}/${needsPrimary}`] ?? 0
    const unserved = selectUnserved(needs, openingFor)
    for (const like of needs) {
      const isLike = (other: ConnectionNeed) => other.team === like.team && other.needsPrimary === like.needsPrimary
      expect(unserved.filter(isLike).length).toBe(Math.max(0, needs.filter(isLike).length - openingFor(like)))
    }
    expect(needs.filter((candidate) => unserved.includes(candidate))).toEqual(unserved)
  }), FUZZ)
})

/** Runs statements of 84 teams whose sizes fall as 1/rank, as many at once as a target has slots. */
async function playTeams (maxConnections: number) {
  const TEAMS = 84
  const STATEMENTS = 6000
  const { pool, settle, opened } = createPool(maxConnections)
  const weights = Array.from({ length: TEAMS }, (_, i) => 1 / (i + 1))
  const total = weights.reduce((sum, weight) => sum + weight, 0)
  const random = xoroshiro128plus(20261204)
  const running: PooledConnection[] = []
  let hits = 0
  for (let i = 0; i < STATEMENTS; i += 1) {
    let rest = uniformFloat64(random) * total
    const team = `t${weights.findIndex((weight) => (rest -= weight) <= 0)}`
    const idle = pool.acquire(team, [])
    if (idle === undefined) {
      pool.open(team)
      await settle()
    } else hits += 1
    const connection = idle ?? pool.acquire(team, [])
    if (connection !== undefined) running.push(connection)
    if (running.length < SLOTS) continue
    pool.releaseSlot()
    pool.release(running.splice(0, 1)[0])
  }
  return { hitShare: hits / STATEMENTS, replacedShare: (opened() - pool.connections()) / STATEMENTS, connections: pool.connections() }
}

test('84 teams on a target with 46, 56 or 66 connections find an idle one for most statements, and leave two sets of connections free', async () => {
  for (const [limit, minHitShare] of [[46, 0.6], [56, 0.7], [66, 0.75]]) {
    const { hitShare, replacedShare, connections } = await playTeams(limit)
    expect(connections).toBeLessThanOrEqual(limit - 2 * (SLOTS + 1))
    expect(hitShare).toBeGreaterThan(minHitShare)
    expect(replacedShare).toBeLessThan(1 - minHitShare)
  }
})
