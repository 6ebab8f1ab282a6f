import { spawn } from 'node:child_process'
import path from 'node:path'
import readline from 'node:readline'
import { type LoadDriverOptions, type LoadDriverResult } from './driver.js'

/** A driver process. */
export interface LoadDriver {
  /** Resolves once all connections are open. */
  readonly connected: Promise<void>
  readonly result: Promise<LoadDriverResult>
}

/** Starts a driver in a process of its own. */
export function startLoadDriver (opts: LoadDriverOptions): LoadDriver {
  const file = path.join(import.meta.dirname, 'driver.js')
  const child = spawn(process.execPath, [file, JSON.stringify(opts)], { stdio: ['ignore', 'pipe', 'inherit'] })
  const lines = readline.createInterface({ input: child.stdout })
  const read: string[] = []
  let resolveConnected = () => {}
  const connected = new Promise<void>((resolve) => { resolveConnected = resolve })
  lines.on('line', (line) => {
    read.push(line)
    resolveConnected()
  })
  const result = new Promise<LoadDriverResult>((resolve, reject) => {
    lines.on('close', () => {
      if (read.length > 1) resolve(JSON.parse(read[1]) as LoadDriverResult)
      else reject(new Error('the driver ended without a result'))
    })
  })
  return { connected, result }
}

/** Runs several drivers at once and adds up what they did; latencies are those of the slowest. */
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
