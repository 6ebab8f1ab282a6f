import fc from 'fast-check'
import { expect, test } from 'vitest'
import { formatEvent } from '../src/index.js'

test('an event is formatted as one line of key=value pairs, with values quoted where needed', () => {
  expect(formatEvent('followSent', { database: 'ledger-1', reason: 'a "b"\nc', term: 2, none: undefined, empty: '' }))
    .toBe('event=followSent database=ledger-1 reason="a \\"b\\"\\nc" term=2 empty=""')
})

// Guards against text of others that controls a terminal: JSON leaves some control characters as they are, such as the CSI of 8 bits.
test('no value contains a control character, a line end or a change of direction, and each can be read back', () => {
  const ranges = [[0, 0xa0], [0x2000, 0x2070], [0xe0000, 0xe007f]].map(([min, max]) => fc.integer({ min, max }))
  const text = fc.string({ unit: fc.oneof(...ranges).map((code) => String.fromCodePoint(code)) })
  fc.assert(fc.property(text, (value) => {
    const line = formatEvent('e', { value })
    expect(line).not.toMatch(/[\p{Cc}\p{Cf}\p{Zl}\p{Zp}]/u)
    const written = line.slice('event=e value='.length)
    expect(written.startsWith('"') ? JSON.parse(written) : written).toBe(value)
  }), { seed: 20261206, numRuns: 2000, endOnFailure: true })
})
