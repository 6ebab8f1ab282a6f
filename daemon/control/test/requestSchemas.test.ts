import { expect, test } from 'vitest'
import { type Announcement, type ControlCommand, type RenewRequest } from '@briarpick/types'
import { checkRaftEnvelope, checkRenewRequest } from '../src/requestSchemas.js'

const address = { host: '127.0.0.1', port: 7000 }
const position = { term: 2, offset: 9 }
const RENEWAL: RenewRequest = {
  proxy: 'p#1',
  incarnation: '1',
  dataCentre: 'c',
  linkAddress: address,
  rpcAddress: address,
  seen: 3,
  bundleVersion: 1,
  routesVersion: 4,
  needsWholeRoutes: false,
  homeFitness: 0.5,
  leaving: false,
  homes: [{
    database: 'd',
    epoch: 1,
    term: 2,
    targets: [{ instance: 'a', reachability: 'ok', silentMs: 0, role: 'primary', term: 2, position }],
    committed: position,
    promoted: null,
    promotedTerm: 3,
    promotion: { fromTerm: 2, heir: 'b' },
    confirmedLoss: 7,
    wantInSync: null,
    released: false,
  }],
  announcements: [],
  witnessed: [{ database: 'd', instance: 'a', term: 2, reachable: true }],
}

test('a renewal with every field passes the check whole, and one with a field of another type names it', () => {
  expect(checkRenewRequest(JSON.parse(JSON.stringify(RENEWAL)))).toEqual(RENEWAL)
  expect(() => checkRenewRequest({ ...RENEWAL, homes: [{ ...RENEWAL.homes[0], confirmedLoss: 'x' }] })).toThrow(/homes\.0\.confirmedLoss/)
})

test('commands pass between nodes with all their fields, also those of a kind that this version does not know', () => {
  const command = { kind: 'later', anything: [1] } as unknown as ControlCommand
  const message = {
    kind: 'append', term: 1, prevIndex: 0, prevTerm: 0, entries: [{ index: 1, term: 1, body: { kind: 'command', command } }], commit: 0, sentAt: 5,
  }
  expect(checkRaftEnvelope({ from: 'a', to: 'b', message }).message).toEqual(message)
  for (const bad of [null, 'noop', {}, { kind: '' }]) {
    const entries = [{ index: 1, term: 1, body: { kind: 'command', command: bad } }]
    expect(() => checkRaftEnvelope({ from: 'a', to: 'b', message: { ...message, entries } })).toThrow(/agreement\.message/)
  }
})

// Guards against machines that stop following the list of targets: one odd entry made a whole renewal invalid, which costs a lease.
test('an announcement that names no target to use is left out of a renewal, and the others hold', () => {
  const announcement: Announcement = {
    service: 's', database: 'd', instance: 'a', dataCentre: 'c', address, role: 'replica', term: 0, position, state: 'serving', slots: 2,
  }
  const nested: unknown = JSON.parse(`${'['.repeat(5000)}${']'.repeat(5000)}`)
  const odd = [{ ...announcement, slots: 2 ** 53 }, { ...announcement, address: { ...address, port: 0 } }, nested, null]
  expect(checkRenewRequest({ ...RENEWAL, announcements: [...odd, announcement] })).toEqual({ ...RENEWAL, announcements: [announcement] })
})

// Guards against a leader that is held up by one renewal: each unusable announcement was checked in full, however many there were.
test('a renewal whose announcements are all unusable is read up to a bounded number of them', () => {
  let reads = 0
  const odd = { get service () { reads += 1 } }
  expect(checkRenewRequest({ ...RENEWAL, announcements: new Array(10_000).fill(odd) })).toEqual({ ...RENEWAL, announcements: [] })
  expect(reads).toBeLessThan(200)
})
