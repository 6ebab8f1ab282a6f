import { spawn } from 'node:child_process'
import path from 'node:path'
import readline from 'node:readline'
import { type LoadDriverOptions, type LoadDriverResult } from './driver.js'

/** A running load driver process. */
export interface LoadDriver {
  /** Resolves once all connections are open. */
  readonly connected: Promise<void>
  /** Rejects if the process ends without a result. */
  readonly result: Promise<LoadDriverResult>
}

/** Starts a load driver in a separate process. */
export function startLoadDriver (opts: LoadDriverOptions): LoadDriver {
  const file = path.join(import.meta.dirname, 'driver.js')
  const child = spawn(process.execPath, [file, JSON.stringify(opts)], { stdio: ['ignore', 'pipe', 'inherit'] })
  const reader = readline.createInterface({ input: child.stdout })
  const lines: string[] = []
  let resolveConnected = () => {}
  const connected = new Promise<void>((resolve) => { resolveConnected = resolve })
  reader.on('line', (line) => {
    lines.push(line)
    resolveConnected()
  })
  const result = new Promise<LoadDriverResult>((resolve, reject) => {
    reader.on('close', () => {
      if (lines.length > 1) resolve(JSON.parse(lines[1]) as LoadDriverResult)
      else reject(new Error('the load driver exited without a result'))
    })
  })
  return { connected, result }
}

/** Runs several load drivers concurrently and sums their counts and rates; latencies are the maximum of each percentile. */
export async function runLoadDrivers (count: number, opts: LoadDriverOptions): Promise<LoadDriverResult> {
  const results = await Promise.all(Array.from({ length: count }, () => startLoadDriver(opts).result))
  return {
    done: results.reduce((sum, { done }) => sum + done, 0),
    failed: results.reduce((sum, result) => sum + result.failed, 0),
    perSecond: results.reduce((sum, { perSecond }) => sum + perSecond, 0),
    p50: Math.max(...results.map(({ p50 }) => p50)),
    p99: Math.max(...results.map(({ p99 }) => p99)),
  }
}
