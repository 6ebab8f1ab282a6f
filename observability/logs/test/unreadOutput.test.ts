import path from 'node:path'
import { execFile, spawn } from 'node:child_process'
import { promisify } from 'node:util'
import { expect, test } from 'vitest'

/** Logs far more than a pipe and the buffer hold, beside a timer; tells on standard error how late the timer was at most. */
const PROGRAM = `
import { createJsonSink } from '@briarpick/logs'
const { sink, droppedLines } = createJsonSink({ vm: 'vm-1', process: 'proxy', linesPerSecond: 1e9, maxBufferBytes: 64 * 1024 })
let latest = performance.now()
let longest = 0
const timer = setInterval(() => {
  for (let i = 0; i < 200; i += 1) sink('entry', 'notDone', { id: 'x' + i, reason: 'overloaded', text: 'y'.repeat(200) })
  longest = Math.max(longest, performance.now() - latest)
  latest = performance.now()
}, 5)
setTimeout(() => {
  clearInterval(timer)
  process.stderr.write(JSON.stringify({ longest, droppedLines: droppedLines() }))
  process.exit(0)
}, 1000)
`
/** Time in which the program should have ended, in ms: its second of work and a start on a busy machine. */
const END_MS = 15_000

/** What the program told before it ended, and its exit code; null if it had to be killed. */
async function runUnread (): Promise<{ readonly told: string, readonly code: number | null }> {
  const child = spawn(process.execPath, ['--input-type=module', '-e', PROGRAM], { cwd: path.join(import.meta.dirname, '..') })
  // Nobody reads: the pipe fills up.
  child.stdout.pause()
  let told = ''
  child.stderr.on('data', (chunk) => { told += String(chunk) })
  const timer = setTimeout(() => child.kill('SIGKILL'), END_MS)
  const code = await new Promise<number | null>((resolve) => child.once('exit', resolve))
  clearTimeout(timer)
  child.stdout.destroy()
  return { told, code }
}

test('an output that nobody reads delays nothing, and what was left out is counted', async () => {
  const { longest, droppedLines } = JSON.parse((await runUnread()).told) as { longest: number, droppedLines: number }
  expect(droppedLines).toBeGreaterThan(1000)
  expect(longest).toBeLessThan(900)
})

test('a process whose output nobody reads can still end', async () => {
  expect((await runUnread()).code).toBe(0)
})

/** Ends right after its last lines, which are more than one write of a pipe takes. */
const LAST_LINES_PROGRAM = `
import { createJsonSink } from '@briarpick/logs'
const { sink } = createJsonSink({ vm: 'vm-1', process: 'proxy', linesPerSecond: 1e9 })
for (let i = 0; i < 500; i += 1) sink('entry', 'notDone', { id: 'x' + i, text: 'y'.repeat(300) })
sink('main', 'stopping', {})
process.exit(0)
`

test('the last lines of a process reach an output that is read', async () => {
  const args = ['--input-type=module', '-e', LAST_LINES_PROGRAM]
  const { stdout } = await promisify(execFile)(process.execPath, args, { cwd: path.join(import.meta.dirname, '..') })
  expect(stdout.match(/"event":"notDone"/g)).toHaveLength(500)
  expect(stdout).toMatch(/"event":"stopping"\}\n$/)
})
