import { expect, test } from 'vitest'
import { type StatementRequest } from '@briarpick/types'
import { createMetrics } from '@briarpick/metrics'
import { type PriorityWait } from '@briarpick/statement-home'
import { createWaitBoard, type StatementHomeClient } from '../src/index.js'
import { createInterruption } from '../src/createInterruption.js'
import { createStatementForwarder } from '../src/createStatementForwarder.js'

const READ: StatementRequest = {
  id: 'r',
  team: 'a',
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
const EPOCH = 3
const DONE = { kind: 'done', rows: [], signature: 's', position: null } as const

test('a request that a full home would refuse is refused by the entry, until the wait that it told has passed', () => {
  const board = createWaitBoard()
  expect(board.refusedForMs(READ, EPOCH, 0)).toBe(0)
  board.record('d', EPOCH, [{ priority: 1, waitMs: 300 }], 0)
  expect(board.refusedForMs(READ, EPOCH, 10)).toBeGreaterThan(200)
  expect(board.refusedForMs(READ, EPOCH, 290)).toBe(0)
  board.record('d', EPOCH, [], 20)
  expect(board.refusedForMs(READ, EPOCH, 20)).toBe(0)
})

test('the wait of a priority is that told for it or for a higher one; lower priorities do not count', () => {
  const board = createWaitBoard()
  board.record('d', EPOCH, [{ priority: 1, waitMs: 300 }], 0)
  expect(board.refusedForMs({ ...READ, priority: 0 }, EPOCH, 0)).toBe(0)
  expect(board.refusedForMs({ ...READ, priority: 2 }, EPOCH, 0)).toBeGreaterThan(0)
})

test('a request that will be late in any case is sent while the home could start it by its deadline', () => {
  const board = createWaitBoard()
  board.record('d', EPOCH, [{ priority: 1, waitMs: 300 }], 0)
  expect(board.refusedForMs({ ...READ, ageMs: 190 }, EPOCH, 0)).toBe(0)
  board.record('d', EPOCH, [{ priority: 1, waitMs: 700 }], 0)
  expect(board.refusedForMs({ ...READ, ageMs: 190 }, EPOCH, 0)).toBeGreaterThan(0)
})

test('what another home of the database told is forgotten', () => {
  const board = createWaitBoard()
  board.record('d', EPOCH, [{ priority: 1, waitMs: 300 }], 0)
  expect(board.refusedForMs(READ, EPOCH + 1, 0)).toBe(0)
})

/** Forwarder to a home that tells its waits with each outcome. */
function createForwarder (waits: readonly PriorityWait[]) {
  const sent: Array<AbortSignal | undefined> = []
  const home: StatementHomeClient = {
    epoch: EPOCH,
    async run (_request, signal) {
      sent.push(signal)
      return { kind: 'outcome', outcome: { reply: DONE, state: 'idle', waits } }
    },
    unresponsiveMs: () => 0,
    rollBack () {},
  }
  const homeFinder = { find: () => home, isControlReachable: () => true, waitForChange: async () => {} }
  const context = { homeFinder, metrics: createMetrics(), waitBoard: createWaitBoard() }
  return { sent, forwarder: createStatementForwarder(context, createInterruption()) }
}

test('after a full home has told its waits, the next request does not cross to it and has not run', async () => {
  const { sent, forwarder } = createForwarder([{ priority: 1, waitMs: 800 }])
  expect((await forwarder.run(READ, undefined)).outcome.reply).toBe(DONE)
  const { outcome } = await forwarder.run(READ, undefined)
  expect(outcome.reply).toMatchObject({ kind: 'error', error: 'busy', reason: 'home_full', fate: 'notRun' })
  expect(sent).toHaveLength(1)
})

test('a request of a caller that has left is not sent, and the home learns of one that leaves later', async () => {
  const { sent, forwarder } = createForwarder([])
  const left = new AbortController()
  await forwarder.run(READ, undefined, false, left.signal)
  left.abort()
  expect(sent.map((signal) => signal?.aborted)).toEqual([true])
  const { outcome } = await forwarder.run(READ, undefined, false, left.signal)
  expect(outcome.reply).toMatchObject({ reason: 'caller_left', fate: 'notRun' })
  expect(sent).toHaveLength(1)
})
