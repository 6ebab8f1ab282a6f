import { expect, test } from 'vitest'
import { formatEvent } from '../src/index.js'

test('an event is formatted as one line of key=value pairs, with values quoted where needed', () => {
  expect(formatEvent('followSent', { database: 'ledger-1', reason: 'a "b"\nc', term: 2, none: undefined, empty: '' }))
    .toBe('event=followSent database=ledger-1 reason="a \\"b\\"\\nc" term=2 empty=""')
})
