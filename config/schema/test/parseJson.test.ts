import { expect, test } from 'vitest'
import fc from 'fast-check'
import { MAX_CONTAINERS, MAX_VALUES, parseJson } from '../src/index.js'

const FUZZ = { seed: 20261207, numRuns: 300, endOnFailure: true }
/** Blanks that make a text long enough to be checked. */
const PADDING = ' '.repeat(262_145)
const reasonOf = (text: string) => parseJson(text + PADDING).match({ Ok: () => undefined, Err: (reason) => reason })
const nested = (depth: number) => '['.repeat(depth) + ']'.repeat(depth)
const listOfLength = (length: number, item: string) => `[${new Array(length).fill(item).join()}]`

// Guards against a daemon that is held up for longer than a lease by one document: 4 MiB of brackets took a second and 200 MB.
test('a text with too many lists and objects or values is refused without being parsed', () => {
  expect(reasonOf(nested(MAX_CONTAINERS))).toBeUndefined()
  expect(reasonOf(nested(MAX_CONTAINERS + 1))).toBe('has more than 131072 lists and objects')
  expect(reasonOf('['.repeat(4_000_000))).toBe('has more than 131072 lists and objects')
  expect(reasonOf(listOfLength(MAX_CONTAINERS - 1, '{}'))).toBeUndefined()
  expect(reasonOf(listOfLength(MAX_CONTAINERS, '{}'))).toBe('has more than 131072 lists and objects')
  expect(reasonOf(listOfLength(MAX_VALUES, '1'))).toBeUndefined()
  expect(reasonOf(listOfLength(MAX_VALUES + 1, '1'))).toBe('has more than 262144 values')
})

test('what is inside strings does not count, and long and short texts are read as JSON.parse reads them', () => {
  expect(reasonOf(JSON.stringify('[{,"\\'.repeat(100_000)))).toBeUndefined()
  expect(reasonOf('"unfinished \\')).toBe('is not JSON')
  fc.assert(fc.property(fc.json(), (text) => {
    for (const long of [text, text + PADDING]) expect(parseJson(long).unwrapOr('failed')).toEqual(JSON.parse(text))
  }), FUZZ)
  fc.assert(fc.property(fc.string(), (text) => {
    for (const long of [text, text + PADDING]) expect(() => parseJson(long)).not.toThrow()
  }), FUZZ)
})
