import { expect, test } from 'vitest'
import fc from 'fast-check'
import { type Access, type SessionValue, type StatementRequest } from '@briarpick/types'
import { createPreparedStatements, MAX_PREPARED_CHARACTERS, MAX_PREPARED_STATEMENTS } from '../src/createPreparedStatements.js'
import { createStatementTargetPool } from '../src/createStatementTargetPool.js'
import { runRequest } from '../src/runRequest.js'
import { type TargetCommand, type TargetDriver, type TargetLink, type TargetResponse } from '../src/targetDriver.js'
import { READ } from '../../link/test/readRequest.js'

const FUZZ = { seed: 20261206, numRuns: 300, endOnFailure: true }
/** What a target takes for a name: one word, which no text of a caller is sure to be. */
const NAME = /^\w+$/

const ANSWER: TargetResponse = { rows: [], signature: 's', error: null, state: 'idle', position: null }

/** An execution as the target saw it. */
interface Execution {
  readonly access: Access
  readonly shape: string
  readonly args: string
  readonly values: readonly SessionValue[]
}

type Handlers = Readonly<Record<string, (command: never) => void>>

/**
 * Driver of a target that keeps values and prepared statements for each connection, and records the executions by id. The answers
 * for which `isLost` returns true are lost together with their connection, after the command took effect.
 */
function createModelTarget (isLost: (command: TargetCommand) => boolean = () => false) {
  const executions = new Map<string, Execution>()
  /** Prepared statements of each connection. */
  const connections: Array<ReadonlyMap<string, unknown>> = []
  const violations: string[] = []
  const shapesPrepared: string[] = []
  const kinds: Array<TargetCommand['kind']> = []

  function createLink (): TargetLink {
    const values = new Map<string, string>()
    const prepared = new Map<string, { readonly access: Access, readonly shape: string }>()
    const listeners: Array<() => void> = []
    let isOpen = true
    connections.push(prepared)
    const handlers: Handlers = {
      set: ({ name, value }: Extract<TargetCommand, { kind: 'set' }>) => { values.set(name, value) },
      prepare ({ name, access, shape }: Extract<TargetCommand, { kind: 'prepare' }>) {
        if (!NAME.test(name) || prepared.has(name)) violations.push(`prepare as ${name}`)
        prepared.set(name, { access, shape })
        shapesPrepared.push(shape)
      },
      deallocate ({ name }: Extract<TargetCommand, { kind: 'deallocate' }>) {
        if (!prepared.delete(name)) violations.push(`deallocate ${name}`)
      },
      reset () {
        values.clear()
        prepared.clear()
      },
      execute ({ id, name, args }: Extract<TargetCommand, { kind: 'execute' }>) {
        const statement = prepared.get(name)
        if (statement === undefined) violations.push(`execute ${name}`)
        else executions.set(id, { ...statement, args, values: [...values].sort() })
      },
    }
    const link: TargetLink = {
      async run (command) {
        kinds.push(command.kind)
        handlers[command.kind](command as never)
        if (!isLost(command)) return ANSWER
        link.close()
        throw new Error('connection closed')
      },
      isOpen: () => isOpen,
      onClose: (listener) => { listeners.push(listener) },
      close () {
        if (!isOpen) return
        isOpen = false
        for (const listener of listeners) listener()
      },
    }
    return link
  }
  const driver: TargetDriver = {
    connect: async () => ({ kind: 'open', link: createLink() }),
    readStatus: () => undefined,
  }
  /** Number of times that a shape was prepared, on all connections. */
  const preparedTimes = (shape: string) => shapesPrepared.filter((prepared) => prepared === shape).length
  const sent = (kind: TargetCommand['kind']) => kinds.filter((each) => each === kind).length
  return { driver, executions, connections, violations, preparedTimes, sent }
}

/** Runs requests one after the other on a pool of two connections. */
async function runAll (target: ReturnType<typeof createModelTarget>, requests: readonly StatementRequest[]): Promise<void> {
  const pool = createStatementTargetPool({
    address: { host: '127.0.0.1', port: 1 },
    database: 'd',
    instance: 'i',
    driver: target.driver,
    slots: 2,
    maxConnections: () => 2,
    hasTeams: () => false,
    onAvailable: () => {},
    onTeamConnection: () => {},
    onConnectionFailure: () => {},
  })
  for (const request of requests) {
    pool.preconnect()
    await new Promise((resolve) => setImmediate(resolve))
    const connection = pool.acquire(null, request.values)
    if (connection === undefined) throw new Error('no connection')
    await runRequest(connection, request, { mustSee: null, timeoutMs: 1000, onSent: () => {} })
    pool.releaseSlot()
    pool.release(connection)
  }
}

const PARTS = ['qa', 'xu', 'WRITE', 'READ', ' ', ' ', '\n', 'r_', 'w_', '__proto__', 'é']
const shapes = fc.array(fc.constantFrom(...PARTS), { minLength: 1, maxLength: 5 }).map((parts) => parts.join(''))
const accesses = fc.constantFrom<Access>('read', 'write')
const sessionValues = fc.subarray<SessionValue>([['tz', 'utc'], ['tz2', 'a b'], ['role', 'x']])
const executes = fc.record({ access: accesses, shape: shapes, values: sessionValues })
  .map(({ access, shape, values }): StatementRequest => ({ ...READ, team: null, values, action: { kind: 'execute', access, shape, args: 'k 1' } }))
const histories = fc.array(executes, { minLength: 1, maxLength: 30 })
  .map((requests) => requests.map((request, i) => ({ ...request, id: `e${i}` })))

function expectAsRequested (executions: ReadonlyMap<string, Execution>, requests: readonly StatementRequest[]): void {
  for (const { id, action, values } of requests) {
    if (action.kind !== 'execute' || !executions.has(id)) continue
    expect(executions.get(id)).toEqual({ access: action.access, shape: action.shape, args: action.args, values: [...values].sort() })
  }
}

// Guards against PINNED and UNASKED: the name of a prepared statement was made of the caller's shape, so a shape with a blank in it
// filled more than the name's field, and the target ran another shape.
test('a statement runs in the shape and with the values that its caller set up, whatever text the shape is', async () => {
  await fc.assert(fc.asyncProperty(histories, async (requests) => {
    const target = createModelTarget()
    await runAll(target, requests)
    expect(target.violations).toEqual([])
    expect(target.executions.size).toBe(requests.length)
    expectAsRequested(target.executions, requests)
  }), FUZZ)
})

// Guards against PINNED: a connection on which a preparation was not answered is used again, with names or values unknown to its pool.
test('after a lost answer, no statement runs with the values or names of another caller', async () => {
  await fc.assert(fc.asyncProperty(histories, fc.infiniteStream(fc.integer({ min: 0, max: 5 })), async (requests, dice) => {
    const words = requests.map((request) => ({ ...request, action: withWordAsShape(request.action) }))
    const target = createModelTarget(() => dice.next().value === 0)
    await runAll(target, words)
    expect(target.violations).toEqual([])
    expectAsRequested(target.executions, words)
  }), FUZZ)
})

// Guards against names on a target's connection that grow with the shapes that callers send, without a bound.
test('the statements prepared on a connection are bounded, and those used last stay prepared', async () => {
  const target = createModelTarget()
  const shapeOf = (i: number) => i % 2 === 0 ? 'often' : `shape ${i}`
  const requests = Array.from({ length: 6 * MAX_PREPARED_STATEMENTS }, (_, i) => execute(i, shapeOf(i)))
  await runAll(target, requests)
  expect(target.violations).toEqual([])
  expectAsRequested(target.executions, requests)
  for (const prepared of target.connections) expect(prepared.size).toBeLessThanOrEqual(MAX_PREPARED_STATEMENTS)
  expect(target.connections.some((prepared) => prepared.size === MAX_PREPARED_STATEMENTS)).toBe(true)
  expect(target.preparedTimes('often')).toBe(target.connections.filter((prepared) => prepared.size > 0).length)
})

// Guards against PINNED: a name, value or transaction was taken for there after an answer that did not say that the command was complete.
test('a preparation that is answered without its completion counts as failed, and its connection is closed', async () => {
  const incomplete = { ...ANSWER, signature: null }
  const requests: ReadonlyArray<readonly [StatementRequest, TargetCommand['kind'], TargetResponse]> = [
    [execute(0, 'a'), 'prepare', incomplete],
    [{ ...READ, values: [['tz', 'utc']] }, 'set', incomplete],
    [{ ...READ, transaction: 'x', begins: 'read' }, 'begin', { ...incomplete, state: 'open' }],
    [{ ...READ, transaction: 'x', begins: 'read' }, 'begin', ANSWER],
  ]
  for (const [request, kind, answer] of requests) {
    const ran: string[] = []
    let isOpen = true
    const link: TargetLink = {
      async run (command) {
        ran.push(command.kind)
        return command.kind === kind ? answer : ANSWER
      },
      isOpen: () => isOpen,
      onClose: () => {},
      close () { isOpen = false },
    }
    const connection = { number: 1, instance: 'i', link, team: null, values: new Map<string, string>(), prepared: createPreparedStatements() }
    const result = await runRequest(connection, request, { mustSee: null, timeoutMs: 1000, onSent: () => {} })
    expect(result).toMatchObject({ kind: 'notSent', error: 'aborted' })
    expect(ran).toEqual([kind])
    expect(isOpen).toBe(false)
  }
})

// Guards against a deadline that passes while the statements of others are deallocated one after the other.
test('a shape that takes the room of many others is prepared after a reset, and in an open transaction after their deallocation', async () => {
  const small = Array.from({ length: MAX_PREPARED_STATEMENTS - 1 }, (_, i) => execute(i, `shape ${i}`))
  const values: readonly SessionValue[] = [['tz', 'utc']]
  const large = { ...execute(small.length, 'x'.repeat(MAX_PREPARED_CHARACTERS)), values }
  const inTransaction = { ...execute(small.length + 1, 'y'.repeat(MAX_PREPARED_CHARACTERS)), transaction: 't' }
  for (const last of [large, inTransaction]) {
    const target = createModelTarget()
    await runAll(target, [...small, last])
    expect(target.violations).toEqual([])
    expectAsRequested(target.executions, [...small, last])
    expect(target.executions.size).toBe(small.length + 1)
    expect(target.sent('reset')).toBe(last === large ? 1 : 0)
    expect(target.sent('deallocate') > 0).toBe(last === inTransaction)
  }
})

test('a shape longer than the room for all shapes is prepared alone', async () => {
  const target = createModelTarget()
  const long = 'x'.repeat(MAX_PREPARED_CHARACTERS + 1)
  const requests = ['a', long, `${long} `, 'b', long].map((shape, i) => execute(i, shape))
  await runAll(target, requests)
  expect(target.violations).toEqual([])
  expectAsRequested(target.executions, requests)
  expect(target.executions.size).toBe(requests.length)
})

function execute (i: number, shape: string): StatementRequest {
  return { ...READ, id: `e${i}`, team: null, action: { kind: 'execute', access: 'read', shape, args: 'k' } }
}

function withWordAsShape (action: StatementRequest['action']): StatementRequest['action'] {
  return action.kind === 'execute' ? { ...action, shape: action.shape.replace(/\W/g, '_') } : action
}
