import path from 'node:path'
import { execFile } from 'node:child_process'
import { promisify } from 'node:util'
import { expect, test } from 'vitest'

const MAX_OUTPUT_BYTES = 64 * 1024 * 1024

/** Runs the program body with a sink until all its output is written; returns the lines that it wrote. */
async function runWithSink (body: string): Promise<ReadonlyArray<Readonly<Record<string, unknown>>>> {
  const program = `
import { createJsonSink } from '@briarpick/logs'
const { sink } = createJsonSink({ vm: 'vm-1', process: 'proxy', maxBufferBytes: ${MAX_OUTPUT_BYTES} })
${body}
`
  const args = ['--input-type=module', '-e', program]
  const { stdout } = await promisify(execFile)(process.execPath, args, { cwd: path.join(import.meta.dirname, '..'), maxBuffer: MAX_OUTPUT_BYTES })
  return stdout.trimEnd().split('\n').map((line) => JSON.parse(line) as Readonly<Record<string, unknown>>)
}

// Guards against a rate limit and a memory that the texts of others evade: each new reason had lines and a window of its own, for good.
test('lines whose reasons are all different are limited together', async () => {
  const lines = await runWithSink("for (let i = 0; i < 5000; i += 1) sink('operators', 'callRefused', { reason: 'no database ' + i })")
  expect(lines.length).toBeLessThan(1000)
  expect(lines.length).toBeGreaterThan(50)
})

test('the lines of other events are logged while one event has many reasons', async () => {
  const lines = await runWithSink(`
for (let i = 0; i < 5000; i += 1) sink('operators', 'callRefused', { reason: 'no database ' + i })
for (let i = 0; i < 5; i += 1) sink('entry', 'statementFailed', { reason: 'overloaded' })
sink('main', 'stopping', {})`)
  expect(lines.filter(({ event }) => event === 'statementFailed')).toHaveLength(5)
  expect(lines.at(-1)).toMatchObject({ event: 'stopping' })
})

// Guards against lines as long as a message: an id or an error text of 1 MiB was written whole, up to 20 times a second.
test('a long value is cut, and the line says which values are', async () => {
  const [line, short] = await runWithSink(`
sink('entry', 'statementFailed', { id: 'x'.repeat(1e6), reason: 'overloaded', text: 'y'.repeat(1e6), retryAfterMs: 500 })
sink('entry', 'statementFailed', { id: 'x1', reason: 'overloaded' })`)
  expect(line).toMatchObject({ reason: 'overloaded', retryAfterMs: 500, cut: 'id,text' })
  expect(line.id).toMatch(/^x{1000,10000}$/)
  expect(line.text).toMatch(/^y{1000,10000}$/)
  expect(short).toMatchObject({ id: 'x1' })
  expect(short).not.toHaveProperty('cut')
})
