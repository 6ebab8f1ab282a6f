import { spawn } from 'node:child_process'
import fs from 'node:fs'
import os from 'node:os'
import path from 'node:path'
import readline from 'node:readline'
import { setTimeout as sleep } from 'node:timers/promises'
import { startControls, type ControlCluster } from '@briarpick/harness'
import { atMost, type Experiment, quantile, round } from '../parts/experiment.js'
import { type LeaseHoldersOptions, type LeaseHoldersReport } from '../parts/leaseHolders.js'
import { cpuUtilization, readProcessUsage } from '../parts/processUsage.js'

const LEASE_HOLDERS = 590
const DATABASES = 860
const DATA_CENTRES = 10
const MAX_BUNDLE_MS = 5000
const MAX_BYTES_PER_SECOND = 5 * 1024
const MAX_RSS_MIB = 256
const OPEN_TIMEOUT_MS = 180_000
const MEASUREMENT_MS = 6000
/** Wait before the measurement, in which the last views reach all lease holders. */
const PROPAGATION_WAIT_MS = 8000
const BUNDLES = 590

/** Measurement at one cluster size. CPU use is in cores; the byte rates are those of one lease holder. */
interface ScaleMeasurement {
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

/** Process that runs the lease holders. */
interface LeaseHoldersProcess {
  /** The last report; undefined before the first. */
  readonly latest: () => LeaseHoldersReport | undefined
  readonly stop: () => void
}

function startLeaseHolders (opts: LeaseHoldersOptions): LeaseHoldersProcess {
  const file = path.join(import.meta.dirname, '../parts/leaseHolders.js')
  const child = spawn(process.execPath, [file, JSON.stringify(opts)], { stdio: ['ignore', 'pipe', 'inherit'] })
  let latest: LeaseHoldersReport | undefined
  readline.createInterface({ input: child.stdout }).on('line', (line) => { latest = JSON.parse(line) as LeaseHoldersReport })
  return { latest: () => latest, stop: () => child.kill('SIGKILL') }
}

async function waitUntil (condition: () => boolean, timeoutMs: number, description: string): Promise<void> {
  const deadlineAt = performance.now() + timeoutMs
  while (!condition()) {
    if (performance.now() > deadlineAt) throw new Error(`timed out after ${timeoutMs} ms waiting for ${description}`)
    await sleep(50)
  }
}

async function measure (
  cluster: ControlCluster,
  holders: LeaseHoldersProcess,
  holderCount: number,
  databases: number,
  settleMs: number
): Promise<ScaleMeasurement> {
  const leader = await cluster.leader()
  const follower = cluster.controls.find((control) => control !== leader) ?? leader
  const sample = () => ({
    at: performance.now(),
    leader: readProcessUsage(leader.process.pid),
    follower: readProcessUsage(follower.process.pid),
    holders: holders.latest(),
  })
  const before = sample()
  await sleep(MEASUREMENT_MS)
  const after = sample()
  const elapsedMs = after.at - before.at
  const perSecondAndHolder = (key: 'bytesOut' | 'bytesIn' | 'renewals') => {
    const delta = (after.holders?.[key] ?? 0) - (before.holders?.[key] ?? 0)
    return delta * 1000 / elapsedMs / holderCount
  }
  return {
    holders: holderCount,
    databases,
    settleMs: round(settleMs),
    leaderCore: round(cpuUtilization(before.leader, after.leader, elapsedMs)),
    followerCore: round(cpuUtilization(before.follower, after.follower, elapsedMs)),
    leaderRssMiB: round(after.leader.rssKiB / 1024),
    followerRssMiB: round(after.follower.rssKiB / 1024),
    renewalsPerSecond: round(perSecondAndHolder('renewals') * holderCount),
    holderBytesOutPerSecond: round(perSecondAndHolder('bytesOut')),
    holderBytesInPerSecond: round(perSecondAndHolder('bytesIn')),
    logBytes: fs.statSync(path.join(leader.dataFolder, 'log')).size,
  }
}

/** Submits bundles one after the other; returns for each the time in ms from its submission until all lease holders have it. */
async function measureBundles (
  cluster: ControlCluster,
  holders: LeaseHoldersProcess,
  count: number
): Promise<readonly number[]> {
  const times: number[] = []
  for (let version = 2; version < count + 2; version++) {
    const sentAt = Date.now()
    await cluster.submitBundle(`version = ${version}\n`)
    await waitUntil(() => (holders.latest()?.lowestVersion ?? 0) >= version, 30_000, `bundle ${version} on all lease holders`)
    times.push(Math.max(0, (holders.latest()?.lowestSince ?? 0) - sentAt))
  }
  return times
}

/** CPU, memory and network use of control, and propagation time of bundles, with up to 590 lease holders and 860 databases over TCP. */
export const controlScale: Experiment = async ({ short, print }) => {
  const sizes = short ? [[150, 215], [590, 860]] : [[150, 860], [590, 215], [590, 860]]
  const points: ScaleMeasurement[] = []
  let bundleTimes: readonly number[] = []
  for (const [holderCount, databases] of sizes) {
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'briarpick-scale-'))
    const cluster = await startControls({ count: 3, folder })
    await cluster.submitBundle('version = 1\n')
    const startedAt = performance.now()
    const control = cluster.controls.map(({ address }) => address)
    const holders = startLeaseHolders({ control, holders: holderCount, databases, dataCentres: DATA_CENTRES })
    await waitUntil(() => holders.latest()?.open === databases, OPEN_TIMEOUT_MS, `${databases} databases to open`)
    const settleMs = performance.now() - startedAt
    await sleep(PROPAGATION_WAIT_MS)
    points.push(await measure(cluster, holders, holderCount, databases, settleMs))
    print(JSON.stringify(points.at(-1)))
    if (holderCount === LEASE_HOLDERS && databases === DATABASES) bundleTimes = await measureBundles(cluster, holders, short ? 30 : BUNDLES)
    holders.stop()
    await cluster.close()
    fs.rmSync(folder, { recursive: true, force: true })
  }
  const fullSize = points.at(-1) as ScaleMeasurement
  print(`bundle changes: ${bundleTimes.length}, p50 ${quantile(bundleTimes, 0.5)} ms, max ${Math.max(...bundleTimes)} ms`)
  return {
    name: 'controlScale',
    aims: [
      atMost(`bundle in force on ${LEASE_HOLDERS} lease holders, max of ${bundleTimes.length}`, Math.max(...bundleTimes), MAX_BUNDLE_MS, ' ms'),
      atMost(
        'bytes/s of control for a daemon, both ways',
        fullSize.holderBytesInPerSecond + fullSize.holderBytesOutPerSecond,
        MAX_BYTES_PER_SECOND
      ),
      atMost('memory of the control leader', fullSize.leaderRssMiB, MAX_RSS_MIB, ' MiB'),
      atMost('processor of the control leader (on a VM set aside)', fullSize.leaderCore, 1, ' core'),
    ],
    data: { points, bundleTimes },
  }
}
