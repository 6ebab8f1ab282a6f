import { expect, test } from 'vitest'
import { type Announcement } from '@briarpick/types'
import { checkAnnouncement } from '../src/index.js'
import { ANNOUNCEMENT } from './announcement.js'

const NOW = 1_800_000_000_000
const SKEW_MS = 12_000
const VALID: Announcement = { ...ANNOUNCEMENT, startedAt: NOW - 1000 }
const isValid = (change: Readonly<Record<string, unknown>>) => checkAnnouncement({ ...VALID, ...change }, NOW + SKEW_MS).isOk

// Guards against machines that stop following the list of targets: one entry with a number too large outranked a running target.
test('an announcement with a number that no target has, or a start in the future, names no target to use', () => {
  expect(isValid({})).toBe(true)
  for (const value of [Number.MAX_SAFE_INTEGER, 2 ** 53, 1e300, Infinity, -1, 0.5, '4', null]) {
    for (const field of ['startedAt', 'sequence', 'slots']) expect(isValid({ [field]: value }), `${field} ${value}`).toBe(false)
  }
  expect(isValid({ startedAt: NOW + SKEW_MS })).toBe(true)
  expect(isValid({ startedAt: NOW + SKEW_MS + 1 })).toBe(false)
  expect(isValid({ slots: 0 })).toBe(false)
  for (const port of [0, 65_536, 7004.5]) expect(isValid({ address: { host: '127.0.0.1', port } }), `port ${port}`).toBe(false)
})

// Guards against two targets that become one: the lines to both have U+FFFD in place of a lone surrogate.
test('names with lone surrogates name no target to use', () => {
  for (const field of ['service', 'database', 'instance', 'dataCentre']) {
    for (const name of ['a\ud800', 'a\udc00']) expect(isValid({ [field]: name }), `${field} ${name}`).toBe(false)
    expect(isValid({ [field]: 'a\ud83d\ude00' }), field).toBe(true)
  }
})

test('names with control characters name no target to use', () => {
  for (const field of ['service', 'database', 'instance', 'dataCentre']) {
    for (const name of ['', 'a\r\nb', 'a\u0000', 'x'.repeat(129)]) expect(isValid({ [field]: name }), `${field} ${name}`).toBe(false)
  }
  expect(isValid({ dataCentre: 'Sala 1' })).toBe(true)
})
