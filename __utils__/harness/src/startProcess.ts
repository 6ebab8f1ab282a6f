import { type ChildProcess, spawn } from 'node:child_process'
import fs from 'node:fs'

/** A running child process. */
export interface StartedProcess {
  readonly name: string
  readonly pid: number
  /** First line of its standard output. */
  readonly firstLine: string
  kill: (signal: NodeJS.Signals) => void
  /** Resolves with the exit code, or null if a signal ended the process. */
  readonly exited: Promise<number | null>
  isRunning: () => boolean
}

/** Options of a process. */
export interface StartProcessOptions {
  readonly name: string
  readonly args: readonly string[]
  /** File to which its standard error is appended. */
  readonly logFile: string
  readonly env?: Readonly<Record<string, string>>
}

/** Running child processes; they are killed when this process exits. */
const children = new Set<ChildProcess>()
for (const signal of ['SIGTERM', 'SIGINT'] as const) process.once(signal, () => process.exit(1))
process.on('exit', () => {
  for (const child of children) child.kill('SIGKILL')
})

const START_TIMEOUT_MS = 20_000

/** Starts a Node.js process and waits for its first line of output. Rejects if it exits before or the timeout expires. */
export async function startProcess (opts: StartProcessOptions): Promise<StartedProcess> {
  const log = fs.openSync(opts.logFile, 'a')
  const child = spawn(process.execPath, opts.args, { stdio: ['ignore', 'pipe', log], env: { ...process.env, DEBUG_COLORS: 'no', ...opts.env } })
  fs.closeSync(log)
  children.add(child)
  const exited = new Promise<number | null>((resolve) => child.once('exit', (code) => {
    children.delete(child)
    resolve(code)
  }))
  const firstLine = await readFirstLine(child, opts, exited)
  return {
    name: opts.name,
    pid: child.pid ?? 0,
    firstLine,
    kill: (signal) => child.kill(signal),
    exited,
    isRunning: () => child.exitCode === null && child.signalCode === null,
  }
}

function readFirstLine (child: ChildProcess, opts: StartProcessOptions, exited: Promise<number | null>): Promise<string> {
  return new Promise((resolve, reject) => {
    let text = ''
    const timer = setTimeout(() => reject(new Error(`${opts.name} timed out before its first line of output`)), START_TIMEOUT_MS)
    exited.then((code) => {
      clearTimeout(timer)
      reject(new Error(`${opts.name} ended with ${code}; see ${opts.logFile}`))
    }, reject)
    child.stdout?.on('data', (chunk) => {
      text += String(chunk)
      const end = text.indexOf('\n')
      if (end < 0) return
      clearTimeout(timer)
      resolve(text.slice(0, end))
    })
  })
}
