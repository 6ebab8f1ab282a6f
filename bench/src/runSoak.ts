import { setTimeout as sleep } from 'node:timers/promises'
import { startSystem, type System } from '@briarpick/harness'
import { checkWrites, createRandom, DEFAULT_MIX, type LoadSummary, readRowCounts, runLoad, summarizeLoad } from '@briarpick/load'
import { readCounters, replicaShare } from './replicaShare.js'
import { SOAK_FAULTS } from './soakFaults.js'

/** Options of a soak test. */
export interface SoakOptions {
  readonly seed: number
  readonly seconds: number
  readonly proxies: number
  readonly databases: number
  /** Arrival rate of operations. */
  readonly ratePerSecond: number
  /** Maximum pause between two faults, in ms. */
  readonly maxPauseMs: number
  readonly print?: (line: string) => void
  /** Log topics to enable in all processes; the folder is then kept. */
  readonly logs?: string
}

/** Result of a soak test. */
export interface SoakResult {
  readonly seed: number
  /** Number of faults drawn, including those skipped because no target could fail safely. */
  readonly faults: number
  /** Timestamped lines of the faults and of the end of the load. */
  readonly trace: readonly string[]
  /** Guarantee violations and failed steps, one line each; empty if the soak test passed. */
  readonly broken: readonly string[]
  readonly summary: LoadSummary
  readonly replicaShare: number
  /** Folder of settings, data and logs. */
  readonly folder: string
}

const BUNDLE_POLL_INTERVAL_MS = 250
const REOPEN_TIMEOUT_MS = 60_000
const SLOTS_PER_TARGET = 2
const MAX_CONNECTIONS_PER_TARGET = 16

/** Runs a load under a seeded fault schedule and checks all guarantees that are observable from outside. */
export async function runSoak (opts: SoakOptions): Promise<SoakResult> {
  const random = createRandom(opts.seed)
  const databases = Array.from({ length: opts.databases }, (_, i) => `ledger-${i + 1}`)
  const system = await startSystem({ proxies: opts.proxies, databases, bundle: 'version = 1\n', logs: opts.logs, standIn: { slots: SLOTS_PER_TARGET, maxConnections: MAX_CONNECTIONS_PER_TARGET } })
  const startedAt = performance.now()
  const traceLines: string[] = []
  const violations: string[] = []
  const bundleMonitor = monitorBundleVersions(system, violations)
  let bundleVersion = 1
  let faults = 0

  function trace (line: string): void {
    const entry = `${((performance.now() - startedAt) / 1000).toFixed(1)} s: ${line}`
    traceLines.push(entry)
    opts.print?.(entry)
  }

  const proxies = system.proxies.map(({ callers }) => callers)
  const load = runLoad({
    proxies,
    databases,
    ratePerSecond: opts.ratePerSecond,
    seconds: opts.seconds,
    seed: opts.seed,
    mix: DEFAULT_MIX,
    sessions: 10,
    maxAgeMs: 1000,
    connectionsPerProxy: 6,
  })
  const context = { system, random, trace, nextBundleVersion: () => ++bundleVersion }
  while (performance.now() - startedAt < opts.seconds * 1000) {
    const fault = SOAK_FAULTS[Math.floor(random() * SOAK_FAULTS.length)]
    faults += 1
    await fault(context).catch((err) => violations.push(`${fault.name}: ${err instanceof Error ? err.message : String(err)}`))
    await sleep(random() * opts.maxPauseMs)
  }
  const { operations, broken: loadViolations } = await load
  violations.push(...loadViolations)
  trace('load ended')
  await system.waitForStatus('all databases are open again', ({ views }) => views.every((view) => view.state === 'open' && view.inSync.length > 0), REOPEN_TIMEOUT_MS)
    .catch((err) => violations.push(String(err)))
  const rows = await Promise.all(databases.map((database) => readRowCounts(proxies, database)))
  violations.push(...checkWrites(operations, rows), ...await checkLimits(system))
  const counters = await readCounters(system.proxies.map(({ address }) => address))
  bundleMonitor.stop()
  await system.close()
  return {
    seed: opts.seed,
    faults,
    trace: traceLines,
    broken: violations,
    summary: summarizeLoad(operations),
    replicaShare: replicaShare(counters),
    folder: system.folder,
  }
}

/** Records a violation whenever a proxy process reports a lower bundle version than before. */
function monitorBundleVersions (system: System, violations: string[]): { readonly stop: () => void } {
  const highestByProxy = new Map<string, number>()
  const timer = setInterval(() => {
    system.status().then(({ proxies }) => {
      for (const { proxy, bundleVersion } of proxies) {
        const highestSeen = highestByProxy.get(proxy) ?? 0
        if (bundleVersion < highestSeen) violations.push(`${proxy} reported bundle version ${bundleVersion} after ${highestSeen}`)
        highestByProxy.set(proxy, Math.max(highestSeen, bundleVersion))
      }
    }, () => {})
  }, BUNDLE_POLL_INTERVAL_MS)
  return { stop: () => clearInterval(timer) }
}

/** Checks each target's peak counts of concurrent statements and connections against its limits. */
async function checkLimits (system: System): Promise<readonly string[]> {
  const violations: string[] = []
  for (const { instance } of system.targets) {
    const reply = await system.queryTarget(instance, 'SELECT stand_in_stats()').catch(() => undefined)
    if (reply === undefined) continue
    const { mostWanted, mostConnections } = JSON.parse(reply) as { readonly mostWanted: number, readonly mostConnections: number }
    if (mostWanted > SLOTS_PER_TARGET) violations.push(`${instance} had ${mostWanted} concurrent statements, with ${SLOTS_PER_TARGET} slots`)
    if (mostConnections > MAX_CONNECTIONS_PER_TARGET) violations.push(`${instance} had ${mostConnections} connections, with a limit of ${MAX_CONNECTIONS_PER_TARGET}`)
  }
  return violations
}
