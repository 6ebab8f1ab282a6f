import { setTimeout as sleep } from 'node:timers/promises'
import { startSystem, type System } from '@briarpick/harness'
import { checkWrites, createRandom, DEFAULT_MIX, type LoadSummary, readRowCounts, runLoad, summarizeLoad } from '@briarpick/load'
import { readCounters, replicaShare } from './readReplicaShare.js'
import { SOAK_FAULTS } from './soakFaults.js'

/** Options of a soak. */
export interface SoakOptions {
  readonly seed: number
  readonly seconds: number
  readonly proxies: number
  readonly databases: number
  readonly ratePerSecond: number
  /** Longest pause between two faults, in ms. */
  readonly maxPauseMs: number
  readonly print?: (line: string) => void
  /** Topics whose logs are kept. */
  readonly logs?: string
}

/** What a soak found. */
export interface SoakResult {
  readonly seed: number
  readonly faults: number
  readonly trace: readonly string[]
  readonly broken: readonly string[]
  readonly summary: LoadSummary
  readonly replicaShare: number
  readonly folder: string
}

const CHECK_MS = 250
const SETTLE_TIMEOUT_MS = 60_000
const SLOTS = 2
const CONNECTIONS = 16

/** Runs a load under a seeded schedule of faults and checks every promise that can be seen from outside. */
export async function runSoak (opts: SoakOptions): Promise<SoakResult> {
  const random = createRandom(opts.seed)
  const databases = Array.from({ length: opts.databases }, (_, i) => `ledger-${i + 1}`)
  const system = await startSystem({ proxies: opts.proxies, databases, bundle: 'version = 1\n', logs: opts.logs, standIn: { slots: SLOTS, maxConnections: CONNECTIONS } })
  const startedAt = performance.now()
  const traceLines: string[] = []
  const broken: string[] = []
  const watch = watchBundles(system, broken)
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
    await fault(context).catch((err) => broken.push(`${fault.name}: ${err instanceof Error ? err.message : String(err)}`))
    await sleep(random() * opts.maxPauseMs)
  }
  const { operations, broken: seen } = await load
  broken.push(...seen)
  trace('load ended')
  await system.until('all databases are open again', ({ views }) => views.every((view) => view.state === 'open' && view.inSync.length > 0), SETTLE_TIMEOUT_MS)
    .catch((err) => broken.push(String(err)))
  const found = await Promise.all(databases.map((database) => readRowCounts(proxies, database)))
  broken.push(...checkWrites(operations, found), ...await checkLimits(system))
  const counters = await readCounters(system.proxies.map(({ address }) => address))
  watch.stop()
  await system.close()
  return {
    seed: opts.seed,
    faults,
    trace: traceLines,
    broken,
    summary: summarizeLoad(operations),
    replicaShare: replicaShare(counters),
    folder: system.folder,
  }
}

/** Watches that no proxy process ever reports a lower version than before. */
function watchBundles (system: System, broken: string[]): { readonly stop: () => void } {
  const highest = new Map<string, number>()
  const timer = setInterval(() => {
    system.status().then(({ proxies }) => {
      for (const { proxy, bundleVersion } of proxies) {
        const known = highest.get(proxy) ?? 0
        if (bundleVersion < known) broken.push(`${proxy} reported bundle ${bundleVersion} after ${known}`)
        highest.set(proxy, Math.max(known, bundleVersion))
      }
    }, () => {})
  }, CHECK_MS)
  return { stop: () => clearInterval(timer) }
}

/** Compares each target's own count of connections and of statements at once with its limits. */
async function checkLimits (system: System): Promise<readonly string[]> {
  const broken: string[] = []
  for (const { instance } of system.targets) {
    const answer = await system.orderTarget(instance, 'SELECT stand_in_stats()').catch(() => undefined)
    if (answer === undefined) continue
    const { mostWanted, mostConnections } = JSON.parse(answer) as { readonly mostWanted: number, readonly mostConnections: number }
    if (mostWanted > SLOTS) broken.push(`${instance} had ${mostWanted} statements at once, with ${SLOTS} slots`)
    if (mostConnections > CONNECTIONS) broken.push(`${instance} had ${mostConnections} connections, with a limit of ${CONNECTIONS}`)
  }
  return broken
}
