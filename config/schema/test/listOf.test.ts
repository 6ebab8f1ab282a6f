import { expect, test } from 'vitest'
import * as z from 'zod'
import { describeIssue, listOf, MAX_DESCRIPTION_CHARACTERS, recordOf } from '../src/index.js'

/** A schema of numbers that counts the values that it has checked. */
function createCountingSchema () {
  let checks = 0
  const schema = z.unknown().refine((value) => {
    checks += 1
    return typeof value === 'number'
  }, 'must be a number')
  return { schema, checks: () => checks }
}

const issueOf = (checked: z.ZodSafeParseResult<unknown>) => checked.error === undefined ? undefined : describeIssue(checked.error)

// Guards against a process that ends for lack of memory, as the faults of all 87,000 routes of a document were collected.
test('a list or an object is read up to its first invalid entry', () => {
  const list = [1, 2, ...new Array<unknown>(100_000).fill('x')]
  for (const [schemaOf, raw] of [[listOf, list], [(item: z.ZodType) => recordOf(z.string(), item), { ...list }]] as const) {
    const { schema, checks } = createCountingSchema()
    const checked = schemaOf(schema).safeParse(raw)
    expect(issueOf(checked)).toBe('2: must be a number')
    expect(checked.error?.issues).toHaveLength(1)
    expect(checks()).toBe(3)
  }
})

test('valid lists and objects are read as their entries are, and other values are refused', () => {
  const list = listOf(z.object({ a: z.int().default(7) }))
  expect(list.parse([{ a: 1, b: 2 }, {}])).toEqual([{ a: 1 }, { a: 7 }])
  expect(recordOf(z.string(), list).parse({ x: [{}], __proto__: { inherited: 1 } })).toEqual({ x: [{ a: 7 }] })
  expect(issueOf(z.object({ routes: list }).safeParse({ routes: [{}, { a: 'x' }] }))).toMatch(/^routes\.1\.a: /)
  for (const raw of [undefined, null, {}, 'text', 3]) expect(issueOf(list.safeParse(raw))).toBe(': must be a list')
  for (const raw of [undefined, null, [], 'text', 3]) expect(issueOf(recordOf(z.string(), list).safeParse(raw))).toBe(': must be an object')
})

// Guards against answers and log lines as long as the document that they are about.
test('a description that quotes a document is cut', () => {
  const described = issueOf(recordOf(z.string(), z.number()).safeParse({ ['k'.repeat(1_000_000)]: 'x' })) ?? ''
  expect(described.length).toBeLessThan(MAX_DESCRIPTION_CHARACTERS + 30)
  expect(described).toMatch(/^k+… \(1000\d\d\d characters\)$/)
})
