import path from 'node:path'
import { execFile, spawn } from 'node:child_process'
import { promisify } from 'node:util'
import { expect, test } from 'vitest'

/** Logs far more than the pipe and the buffer hold; reports its longest timer interval and the dropped lines on standard error. */
const PROGRAM = `
import { createJsonSink } from '@briarpick/logs'
const { sink, droppedLines } = createJsonSink({ vm: 'vm-1', process: 'proxy', linesPerSecond: 1e9, maxBufferBytes: 64 * 1024 })
let lastTickMs = performance.now()
let maxIntervalMs = 0
const timer = setInterval(() => {
  for (let i = 0; i < 200; i += 1) sink('entry', 'statementFailed', { id: 'x' + i, reason: 'overloaded', text: 'y'.repeat(200) })
  maxIntervalMs = Math.max(maxIntervalMs, performance.now() - lastTickMs)
  lastTickMs = performance.now()
}, 5)
setTimeout(() => {
  clearInterval(timer)
  process.stderr.write(JSON.stringify({ maxIntervalMs, droppedLines: droppedLines() }))
  process.exit(0)
}, 1000)
`
/** Time after which the program is killed, in ms: it runs for one second, but may start slowly on a busy machine. */
const EXIT_TIMEOUT_MS = 15_000

/** Runs the program without reading its output. Returns its standard error and exit code; null if it had to be killed. */
async function runUnread (): Promise<{ readonly stderr: string, readonly code: number | null }> {
  const child = spawn(process.execPath, ['--input-type=module', '-e', PROGRAM], { cwd: path.join(import.meta.dirname, '..') })
  // The output is not read, so the pipe fills up.
  child.stdout.pause()
  let stderr = ''
  child.stderr.on('data', (chunk) => { stderr += String(chunk) })
  const timer = setTimeout(() => child.kill('SIGKILL'), EXIT_TIMEOUT_MS)
  const code = await new Promise<number | null>((resolve) => child.once('exit', resolve))
  clearTimeout(timer)
  child.stdout.destroy()
  return { stderr, code }
}

test('an output that nobody reads does not block the process, and dropped lines are counted', async () => {
  const { maxIntervalMs, droppedLines } = JSON.parse((await runUnread()).stderr) as { maxIntervalMs: number, droppedLines: number }
  expect(droppedLines).toBeGreaterThan(1000)
  expect(maxIntervalMs).toBeLessThan(900)
})

test('a process whose output nobody reads can still exit', async () => {
  expect((await runUnread()).code).toBe(0)
})

/** Exits right after its last lines, which exceed the capacity of one write to a pipe. */
const LAST_LINES_PROGRAM = `
import { createJsonSink } from '@briarpick/logs'
const { sink } = createJsonSink({ vm: 'vm-1', process: 'proxy', linesPerSecond: 1e9 })
for (let i = 0; i < 500; i += 1) sink('entry', 'statementFailed', { id: 'x' + i, text: 'y'.repeat(300) })
sink('main', 'stopping', {})
process.exit(0)
`

test('the last lines before an exit reach an output that is read', async () => {
  const args = ['--input-type=module', '-e', LAST_LINES_PROGRAM]
  const { stdout } = await promisify(execFile)(process.execPath, args, { cwd: path.join(import.meta.dirname, '..') })
  expect(stdout.match(/"event":"statementFailed"/g)).toHaveLength(500)
  expect(stdout).toMatch(/"event":"stopping"\}\n$/)
})
