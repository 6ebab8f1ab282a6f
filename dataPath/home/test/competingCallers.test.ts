import { expect, test } from 'vitest'
import { ORIGIN, type StatementRequest } from '@briarpick/types'
import { createMetrics } from '@briarpick/metrics'
import { createStatementDispatcher, type SlotGrant } from '../src/createStatementDispatcher.js'
import { type StatementHomeContext } from '../src/statementHomeContext.js'
import { type GroupTarget } from '../src/createTargetGroup.js'

const SLOTS = 2
const NONE_EXCLUDED: ReadonlySet<string> = new Set()
const READ: StatementRequest = {
  id: 'r',
  team: 'loud',
  database: 'd',
  action: { kind: 'query', access: 'read', text: 'READ a' },
  values: [],
  freshness: { current: false, maxAgeMs: 1000, seen: null },
  priority: 1,
  aimMs: 200,
  ageMs: 0,
  deadlineMs: 1000,
  transaction: null,
  begins: null,
  beginId: null,
}

/** Dispatcher of a home with one target, the primary; `dispatch` follows each release of a slot, as in a home. */
function createHome (hasTeams: boolean) {
  const metrics = createMetrics()
  let active = 0
  const canAcquireSlot = () => active < SLOTS
  const pool = {
    acquire: () => canAcquireSlot() && ++active > 0 ? { values: new Map(), prepared: new Set() } : undefined,
    acquireSlot: () => canAcquireSlot() && ++active > 0,
    releaseSlot () {
      active -= 1
      dispatcher.dispatch()
    },
    canAcquire: canAcquireSlot,
    canAcquireSlot,
    active: () => active,
    slots: () => SLOTS,
    capacity: () => SLOTS,
  }
  const target = { member: { instance: 'p' }, pool } as unknown as GroupTarget
  const candidate = () => ({
    instance: 'p',
    isPrimary: true,
    isLocal: true,
    isFree: canAcquireSlot(),
    canAcquire: canAcquireSlot(),
    active,
    slots: SLOTS,
    capacity: SLOTS,
    received: ORIGIN,
    applied: ORIGIN,
    lagMs: 0,
    receiveLagMs: 0,
  })
  const context = {
    database: 'd',
    opts: { metrics, limits: () => ({ maxConnections: 10, transactionIdleMs: 1000, hasTeams }) },
    view: () => ({ primary: 'p' }),
    group: {
      all: () => [target],
      get: () => target,
      primary: () => target,
      canAcquireSlot,
      canAcquire: canAcquireSlot,
      canOpen: () => false,
      opening: () => 0,
      readCandidates: () => [candidate()],
      isPrimaryUsable: () => true,
    },
    history: { requiredPosition: () => ORIGIN, ageOf: () => Infinity, isFloorKnown: () => true },
    isActive: () => true,
    accepts: () => true,
    acceptsWrites: () => true,
    writes: { hasCommitRoom: () => true },
    successorExpectedMs: () => undefined,
    isStarting: () => false,
    now: () => performance.now(),
  } as unknown as StatementHomeContext
  const dispatcher = createStatementDispatcher(context)
  const order: string[] = []

  /** Runs a request; its slot is held until `release` is called with its id. */
  const grants = new Map<string, SlotGrant>()
  async function run (request: StatementRequest, signal?: AbortSignal) {
    const result = await dispatcher.acquire(request, { excluded: NONE_EXCLUDED, deadline: performance.now() + request.deadlineMs, signal })
    if (result.kind === 'granted') {
      order.push(request.id)
      grants.set(request.id, result)
    }
    return result
  }
  async function release (id: string): Promise<void> {
    grants.get(id)?.releaseSlot()
    await new Promise((resolve) => setImmediate(resolve))
  }
  return { dispatcher, run, release, order, counters: () => metrics.snapshot().counters }
}

async function fillSlots ({ run }: ReturnType<typeof createHome>): Promise<void> {
  for (let i = 0; i < SLOTS; i += 1) await run({ ...READ, id: `running ${i}` })
}

test('beside a loud team, another team is admitted and starts next; without teams, requests start in order of arrival', async () => {
  for (const hasTeams of [true, false]) {
    const home = createHome(hasTeams)
    await fillSlots(home)
    const waiting = ['loud 1', 'loud 2', 'loud 3'].map(async (id) => await home.run({ ...READ, id }))
    waiting.push(home.run({ ...READ, id: 'quiet', team: 'quiet' }))
    expect(home.dispatcher.waiting()).toBe(4)
    await home.release('running 0')
    await home.release('running 1')
    expect(home.order.slice(SLOTS)).toEqual(hasTeams ? ['loud 1', 'quiet'] : ['loud 1', 'loud 2'])
    home.dispatcher.rejectAll()
    await Promise.all(waiting)
  }
})

test('a loud team that would be late behind its own work is refused with a time to return, while another team still may wait', async () => {
  const home = createHome(true)
  await fillSlots(home)
  const first = home.run({ ...READ, id: 'first', team: 'quiet' })
  const results = Array.from({ length: 30 }, async (_, index) => await home.run({ ...READ, id: `loud ${index}` }))
  const waitingOfLoud = home.dispatcher.waiting() - 1
  expect(waitingOfLoud).toBeLessThan(30)
  const quiet = home.run({ ...READ, id: 'quiet', team: 'quiet' })
  expect(home.dispatcher.waiting()).toBe(waitingOfLoud + 2)
  const refused = await results[29]
  expect(refused).toMatchObject({ kind: 'error', reason: 'overloaded', fate: 'notRun' })
  const delays = await Promise.all(results.slice(waitingOfLoud).map(async (result) => {
    const reply = await result
    return reply.kind === 'error' ? reply.retryAfterMs : null
  }))
  expect(new Set(delays).size).toBeGreaterThan(delays.length / 2)
  expect(home.dispatcher.waits()).toEqual([{ priority: 1, waitMs: expect.any(Number) }])
  await home.release('running 0')
  await home.release('running 1')
  await first
  const served = { 'requests.served_priority_1_quiet': 1 + SLOTS, 'requests.served_priority_1_loud': 1 }
  expect(home.counters()).toMatchObject({ ...served, 'requests.refused_priority_1_loud': 30 - waitingOfLoud })
  home.dispatcher.rejectAll()
  await quiet
})

test('a caller that leaves gives up its place: its request is not begun, and the next one starts', async () => {
  const home = createHome(true)
  await fillSlots(home)
  const left = new AbortController()
  const leaving = home.run({ ...READ, id: 'leaving' }, left.signal)
  const staying = home.run({ ...READ, id: 'staying' })
  left.abort()
  expect(await leaving).toMatchObject({ kind: 'error', reason: 'caller_left', fate: 'notRun' })
  await home.release('running 0')
  await staying
  expect(home.order.slice(SLOTS)).toEqual(['staying'])
  expect(await home.run({ ...READ, id: 'gone' }, left.signal)).toMatchObject({ reason: 'caller_left' })
})

test('a statement inside a transaction that waits for its target holds up no other request', async () => {
  const home = createHome(true)
  await fillSlots(home)
  const single = home.run({ ...READ, id: 'single', priority: 0 })
  const { dispatcher } = home
  const target = { member: { instance: 'p' }, pool: { acquireSlot: () => false, canAcquireSlot: () => false } } as unknown as GroupTarget
  const inTransaction = dispatcher.acquireSlot(target, { ...READ, transaction: 't' }, { deadline: performance.now() + 30, commitsWrites: false })
  expect(dispatcher.waiting()).toBe(2)
  await home.release('running 0')
  await single
  expect(await inTransaction).toBeUndefined()
})
