import { expect, test } from 'vitest'
import { type Announcement, type ControlCommand, type SignedBundle } from '@briarpick/types'
import { applyCommand, type ControlState, EMPTY_STATE, viewOf } from '../src/index.js'

const announcement = (instance: string): Announcement => ({
  service: 'rent-ledger',
  database: 'ledger',
  instance,
  dataCentre: 'centro',
  address: { host: '127.0.0.1', port: 5432 },
  role: 'replica',
  term: 1,
  position: { term: 1, offset: 0 },
  state: 'serving',
})
const bundle = (version: number, digest: string): SignedBundle => ({ version, digest, text: '', signer: 'Ana', signature: '' })

function run (commands: readonly ControlCommand[], state: ControlState = EMPTY_STATE): ControlState {
  return commands.reduce((current, command, index) => applyCommand(current, command, index + 1).state, state)
}

const OPEN: readonly ControlCommand[] = [
  { kind: 'joinTarget', announcement: announcement('a') },
  { kind: 'joinTarget', announcement: announcement('b') },
  { kind: 'open', database: 'ledger', term: 1, primary: 'a', inSync: [] },
]

test('freeze, open and setInSync commands decided in an earlier term have no effect', () => {
  const frozen = run([...OPEN, { kind: 'freeze', database: 'ledger', fromTerm: 1 }])
  expect(frozen.views.ledger).toMatchObject({ state: 'promoting', term: 2, primary: null })
  expect(run([{ kind: 'freeze', database: 'ledger', fromTerm: 1 }], frozen)).toEqual(frozen)
  expect(run([{ kind: 'open', database: 'ledger', term: 1, primary: 'a', inSync: [] }], frozen)).toEqual(frozen)
  const open = run([{ kind: 'open', database: 'ledger', term: 2, primary: 'b', inSync: [] }], frozen)
  expect(open.views.ledger).toMatchObject({ state: 'open', term: 2, primary: 'b' })
  expect(run([{ kind: 'setInSync', database: 'ledger', term: 1, inSync: ['a'] }], open)).toEqual(open)
})

test('of two home assignments decided in the same epoch only the first takes effect', () => {
  const address = { host: '127.0.0.1', port: 1 }
  const state = run([
    ...OPEN,
    { kind: 'assignHome', database: 'ledger', fromEpoch: 0, proxy: 'p1', address },
    { kind: 'assignHome', database: 'ledger', fromEpoch: 0, proxy: 'p2', address },
  ])
  expect(state.views.ledger.home).toEqual({ proxy: 'p1', address, epoch: 1 })
})

test('the primary and in-sync replicas cannot be removed from the view', () => {
  const state = run([...OPEN, { kind: 'setInSync', database: 'ledger', term: 1, inSync: ['b'] }])
  expect(run([{ kind: 'removeTarget', database: 'ledger', instance: 'a' }], state)).toEqual(state)
  expect(run([{ kind: 'removeTarget', database: 'ledger', instance: 'b' }], state)).toEqual(state)
})

test('a bundle is accepted once, and only with a higher version than the current one', () => {
  const verdictOf = (state: ControlState, candidate: SignedBundle) => {
    const { outcome } = applyCommand(state, { kind: 'submitBundle', bundle: candidate }, 9)
    return outcome.kind === 'bundle' ? outcome.verdict.kind : outcome.kind
  }
  const current = applyCommand(EMPTY_STATE, { kind: 'submitBundle', bundle: bundle(5, 'x') }, 1).state
  expect(current.bundle?.version).toBe(5)
  expect(verdictOf(current, bundle(5, 'x'))).toBe('alreadyAccepted')
  expect(verdictOf(current, bundle(5, 'y'))).toBe('refusedConflict')
  expect(verdictOf(current, bundle(4, 'x'))).toBe('refusedOlder')
  expect(verdictOf(current, bundle(6, 'z'))).toBe('accepted')
})

test('a target that leaves or restarts without its log is an unconfirmed loss until the home has confirmed that very loss', () => {
  const started = (instance: string, startedAt: number, state: Announcement['state'] = 'serving'): ControlCommand =>
    ({ kind: 'joinTarget', announcement: { ...announcement(instance), address: { host: '127.0.0.1', port: startedAt }, startedAt, state } })
  const open = run([started('a', 10), started('b', 20), { kind: 'open', database: 'ledger', term: 1, primary: 'a', inSync: [] }])
  expect(open.views.ledger.unconfirmedLoss).toBeUndefined()
  expect(run([started('b', 20, 'leaving')], open).views.ledger.unconfirmedLoss).toBeUndefined()
  const confirm = (confirmedLoss: number): ControlCommand => ({ kind: 'setInSync', database: 'ledger', term: 1, inSync: [], confirmedLoss })
  const restarted = run([{ kind: 'noop' }, started('b', 30)], open)
  expect(restarted.views.ledger.unconfirmedLoss).toBe(2)
  expect(run([confirm(1)], restarted).views.ledger.unconfirmedLoss).toBe(2)
  expect(run([confirm(2)], restarted).views.ledger.unconfirmedLoss).toBeUndefined()
  expect(run([{ kind: 'removeTarget', database: 'ledger', instance: 'b' }], open).views.ledger.unconfirmedLoss).toBe(1)
  expect(run([{ kind: 'removeTarget', database: 'ledger', instance: 'nobody' }], open)).toEqual(open)
})

test('databases, services and targets may have names that every object has', () => {
  const names = ['constructor', '__proto__', 'toString', 'hasOwnProperty']
  const commands = names.map((name): ControlCommand => ({ kind: 'joinTarget', announcement: { ...announcement('a'), service: name, database: name } }))
  const state = run([...commands, { kind: 'open', database: 'constructor', term: 1, primary: 'a', inSync: [] }])
  expect(Object.keys(state.views).sort()).toEqual([...names].sort())
  expect(viewOf(state, 'constructor')).toMatchObject({ state: 'open', primary: 'a' })
  expect(viewOf(EMPTY_STATE, 'constructor')).toBeUndefined()
  expect(viewOf(JSON.parse(JSON.stringify(state)) as ControlState, '__proto__')).toMatchObject({ database: '__proto__' })
  expect(run([{ kind: 'removeTarget', database: 'valueOf', instance: 'a' }], state)).toEqual(state)
})

test('a command of an unknown kind, as from a later version, changes nothing', () => {
  for (const kind of ['later', 'constructor']) {
    expect(applyCommand(EMPTY_STATE, { kind } as unknown as ControlCommand, 1)).toEqual({ state: EMPTY_STATE, outcome: { kind: 'unchanged' } })
  }
})

test('a target that has left is not in use again by a late announcement of its process, also from a snapshot, but by a later start', () => {
  const join = (startedAt: number): ControlCommand => ({ kind: 'joinTarget', announcement: { ...announcement('b'), startedAt } })
  const open = run([{ kind: 'joinTarget', announcement: { ...announcement('a'), address: { host: '127.0.0.1', port: 1 } } }, join(20)])
  const left = run([{ kind: 'removeTarget', database: 'ledger', instance: 'b', hasLeft: true }], open)
  const restored = JSON.parse(JSON.stringify(left)) as ControlState
  for (const state of [left, restored]) {
    expect(run([join(20)], state)).toEqual(state)
    expect(run([join(21)], state).views.ledger.members.map(({ instance }) => instance)).toEqual(['a', 'b'])
  }
})

test('a target that was removed because it could not be reached is in use again once it announces itself', () => {
  const join: ControlCommand = { kind: 'joinTarget', announcement: { ...announcement('b'), startedAt: 20 } }
  const removed = run([...OPEN, join, { kind: 'removeTarget', database: 'ledger', instance: 'b' }])
  expect(run([join], removed).views.ledger.members.map(({ instance }) => instance)).toContain('b')
})
