import { spawn } from 'node:child_process'
import fs from 'node:fs'
import os from 'node:os'
import path from 'node:path'
import readline from 'node:readline'
import { setTimeout as sleep } from 'node:timers/promises'
import { startControls, type ControlCluster } from '@briarpick/harness'
import { atMost, type Experiment, quantile, round } from '../parts/experiment.js'
import { type LeaseHoldersReport, type LeaseHoldersOptions } from '../parts/leaseHolders.js'
import { cpuUtilization, readProcessUsage } from '../parts/processUsage.js'

const DAEMONS = 590
const DATABASES = 860
const DATA_CENTRES = 10
const MAX_BUNDLE_MS = 5000
const MAX_BYTES_PER_SECOND = 5 * 1024
const MAX_RSS_MIB = 256
const SETTLE_TIMEOUT_MS = 180_000
const WINDOW_MS = 6000
/** Time in which the last views reach the last holders. */
const QUIET_MS = 8000
const BUNDLE_CHANGES = 590

/** One measured size. */
interface Point {
  readonly holders: number
  readonly databases: number
  readonly settleMs: number
  readonly leaderCore: number
  readonly followerCore: number
  readonly leaderRssMiB: number
  readonly followerRssMiB: number
  readonly renewalsPerSecond: number
  readonly holderBytesOutPerSecond: number
  readonly holderBytesInPerSecond: number
  readonly logBytes: number
}

interface Holders {
  readonly latest: () => LeaseHoldersReport | undefined
  readonly stop: () => void
}

function startHolders (opts: LeaseHoldersOptions): Holders {
  const file = path.join(import.meta.dirname, '../parts/leaseHolders.js')
  const child = spawn(process.execPath, [file, JSON.stringify(opts)], { stdio: ['ignore', 'pipe', 'inherit'] })
  let latest: LeaseHoldersReport | undefined
  readline.createInterface({ input: child.stdout }).on('line', (line) => { latest = JSON.parse(line) as LeaseHoldersReport })
  return { latest: () => latest, stop: () => child.kill('SIGKILL') }
}

async function until (condition: () => boolean, timeoutMs: number, what: string): Promise<void> {
  const end = performance.now() + timeoutMs
  while (!condition()) {
    if (performance.now() > end) throw new Error(`waited ${timeoutMs} ms for ${what}`)
    await sleep(50)
  }
}

async function measure (cluster: ControlCluster, holders: Holders, count: number, databases: number, settleMs: number): Promise<Point> {
  const leader = await cluster.leader()
  const follower = cluster.controls.find((control) => control !== leader) ?? leader
  const look = () => ({
    at: performance.now(),
    leader: readProcessUsage(leader.process.pid),
    follower: readProcessUsage(follower.process.pid),
    holders: holders.latest(),
  })
  const before = look()
  await sleep(WINDOW_MS)
  const after = look()
  const ms = after.at - before.at
  const perHolderSecond = (key: 'bytesOut' | 'bytesIn' | 'renewals') => {
    const counted = (after.holders?.[key] ?? 0) - (before.holders?.[key] ?? 0)
    return counted * 1000 / ms / count
  }
  return {
    holders: count,
    databases,
    settleMs: round(settleMs),
    leaderCore: round(cpuUtilization(before.leader, after.leader, ms)),
    followerCore: round(cpuUtilization(before.follower, after.follower, ms)),
    leaderRssMiB: round(after.leader.rssKiB / 1024),
    followerRssMiB: round(after.follower.rssKiB / 1024),
    renewalsPerSecond: round(perHolderSecond('renewals') * count),
    holderBytesOutPerSecond: round(perHolderSecond('bytesOut')),
    holderBytesInPerSecond: round(perHolderSecond('bytesIn')),
    logBytes: fs.statSync(path.join(leader.dataFolder, 'log')).size,
  }
}

async function changeBundles (cluster: ControlCluster, holders: Holders, count: number): Promise<readonly number[]> {
  const times: number[] = []
  for (let version = 2; version < count + 2; version++) {
    const sentAt = Date.now()
    await cluster.submitBundle(`version = ${version}\n`)
    await until(() => (holders.latest()?.lowestVersion ?? 0) >= version, 30_000, `bundle ${version} everywhere`)
    times.push(Math.max(0, (holders.latest()?.lowestSince ?? 0) - sentAt))
  }
  return times
}

/** Control with hundreds of lease holders over real sockets, and as many databases as the aim has. */
export const controlScale: Experiment = async ({ short, print }) => {
  const sizes = short ? [[150, 215], [590, 860]] : [[150, 860], [590, 215], [590, 860]]
  const points: Point[] = []
  let bundleTimes: readonly number[] = []
  for (const [count, databases] of sizes) {
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'briarpick-scale-'))
    const cluster = await startControls({ count: 3, folder })
    await cluster.submitBundle('version = 1\n')
    const startedAt = performance.now()
    const control = cluster.controls.map(({ address }) => address)
    const holders = startHolders({ control, holders: count, databases, dataCentres: DATA_CENTRES })
    await until(() => holders.latest()?.open === databases, SETTLE_TIMEOUT_MS, `${databases} databases open`)
    const settleMs = performance.now() - startedAt
    await sleep(QUIET_MS)
    points.push(await measure(cluster, holders, count, databases, settleMs))
    print(JSON.stringify(points.at(-1)))
    if (count === DAEMONS && databases === DATABASES) bundleTimes = await changeBundles(cluster, holders, short ? 30 : BUNDLE_CHANGES)
    holders.stop()
    await cluster.close()
    fs.rmSync(folder, { recursive: true, force: true })
  }
  const full = points.at(-1) as Point
  print(`bundle changes: ${bundleTimes.length}, p50 ${quantile(bundleTimes, 0.5)} ms, max ${Math.max(...bundleTimes)} ms`)
  return {
    name: 'controlScale',
    aims: [
      atMost(`bundle in force on ${DAEMONS} lease holders, max of ${bundleTimes.length}`, Math.max(...bundleTimes), MAX_BUNDLE_MS, ' ms'),
      atMost('bytes/s of control for a daemon, both ways', full.holderBytesInPerSecond + full.holderBytesOutPerSecond, MAX_BYTES_PER_SECOND),
      atMost('memory of the control leader', full.leaderRssMiB, MAX_RSS_MIB, ' MiB'),
      atMost('processor of the control leader (on a VM set aside)', full.leaderCore, 1, ' core'),
    ],
    data: { points, bundleTimes },
  }
}
