import fc from 'fast-check'
import { expect, test } from 'vitest'
import { keyStatements } from '../src/keyStatements.js'

/** Reads one string constant of PostgreSQL at the end of a text, as a target with or without standard_conforming_strings reads it. */
function readConstant (sql: string, standardConforming: boolean): string | undefined {
  const match = /(E?)'((?:[^'\\]|''|\\[\s\S])*)'$/.exec(sql)
  if (match === null) return undefined
  const hasEscapes = match[1] === 'E' || !standardConforming
  return hasEscapes ? match[2].replaceAll(/''|\\([\s\S])/g, (quoted, escaped?: string) => escaped ?? "'") : match[2].replaceAll("''", "'")
}

// Guards against keys that become SQL: a target without standard_conforming_strings takes a backslash for an escape of the quote after it.
test('a key is the same text on targets with and without standard_conforming_strings', () => {
  const key = fc.oneof(fc.string(), fc.string({ unit: fc.constantFrom("'", '\\', 'a', '-') }))
  fc.assert(fc.property(key, (text) => {
    const sql = keyStatements.lookUp(text)
    expect(readConstant(sql, true)).toBe(text)
    expect(readConstant(sql, false)).toBe(text)
  }), { seed: 20261206, numRuns: 1000, endOnFailure: true })
})

test('a key without a backslash is an ordinary constant', () => {
  expect(keyStatements.lookUp("a'b")).toContain("key = 'a''b'")
})
