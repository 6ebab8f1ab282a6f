import fs from 'node:fs'
import os from 'node:os'
import path from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import {
  ALL_TEXTS,
  findStatementViolations,
  findWriteViolations,
  newStatementId,
  type PlatformSystem,
  queryUntilSuccess,
  type SentStatement,
  standInConfig,
  startPlatformSystem,
  startReadYourWritesClient,
  startStatementClient,
  startWriter,
  type WriteRecord,
} from '@briarpick/platform-stand-in'
import { createRandom } from '@briarpick/load'
import { type PlatformFaultContext, PLATFORM_FAULT_LANES } from './platformFaults.js'

/** Options of a soak of the platform's programs. */
export interface PlatformSoakOptions {
  readonly seed: number
  readonly seconds: number
  /** Second byte of the loopback addresses; a different one for each system that runs at the same time. */
  readonly subnet: number
  /** Longest pause between two faults of a lane, in ms. */
  readonly maxPauseMs: number
  readonly print?: (line: string) => void
}

/** Result of a soak of the platform's programs. */
export interface PlatformSoakResult {
  readonly seed: number
  readonly faults: number
  readonly trace: readonly string[]
  /** Broken promises, one line each; empty if the soak passed. */
  readonly violations: readonly string[]
  readonly done: number
  readonly refused: number
  readonly unknown: number
  readonly reads: number
  /** Statements of sessions whose shapes, values and texts were checked. */
  readonly statements: number
  /** Folder with the schedule, the callers' history and all logs; undefined if nothing was violated. */
  readonly folder: string | undefined
}

const SERVICES = ['ledger', 'orders']
const VMS = 5
/** Time after the last fault within which every database must accept a write, in ms; the smallest `recovery_s` of the platform's pages. */
const RECOVERY_MS = 12_000
const CONFIG_POLL_MS = 500
/** Violations of statements that are kept, as one cause may show in thousands of them. */
const MAX_STATEMENT_VIOLATIONS = 100

/** Runs callers under seeded faults, which overlap between lanes, and checks what callers, operators and targets see. */
export async function runPlatformSoak (opts: PlatformSoakOptions): Promise<PlatformSoakResult> {
  const system = await startPlatformSystem({ subnet: opts.subnet, controls: VMS, proxies: VMS, services: SERVICES })
  try {
    return await runOnSystem(system, opts)
  } finally {
    await system.close()
  }
}

async function runOnSystem (system: PlatformSystem, opts: PlatformSoakOptions): Promise<PlatformSoakResult> {
  const startedAt = performance.now()
  const trace: string[] = []
  const violations: string[] = []
  const versions = monitorVersions(system, violations)
  let version = 1
  let faults = 0

  function addTrace (line: string): void {
    const entry = `${((performance.now() - startedAt) / 1000).toFixed(1)} s: ${line}`
    trace.push(entry)
    opts.print?.(entry)
  }

  await system.putConfig(standInConfig(version, SERVICES))
  for (const service of SERVICES) await queryUntilSuccess(system.vms, `primary-${service}`, `WRITE first ${newStatementId()}`, RECOVERY_MS)
  const writers = SERVICES.map((service) => system.vms.map((vm, i) => startWriter(vm, `w${i}`, service)))
  const readers = SERVICES.flatMap((service) => system.vms.map((vm, i) => startReadYourWritesClient(vm, `r${i}`, service)))

  const statementClients = SERVICES.flatMap((service, s) => system.vms.map((vm, i) => startStatementClient(vm, {
    callerName: `read_your_writes-${service}`, texts: ALL_TEXTS, random: createRandom(opts.seed * SERVICES.length * VMS + s * VMS + i),
  })))

  async function runLane (name: string, lane: number): Promise<void> {
    // One generator for each lane: the schedule of a lane does not depend on how long the faults of another take.
    const random = createRandom(opts.seed * Object.keys(PLATFORM_FAULT_LANES).length + lane)
    const context: PlatformFaultContext = {
      system, services: SERVICES, random, trace: (line) => addTrace(`${name}: ${line}`), nextVersion: () => ++version, onAcknowledged: versions.acknowledge,
    }
    const laneFaults = PLATFORM_FAULT_LANES[name]
    while (performance.now() - startedAt < opts.seconds * 1000) {
      faults += 1
      const fault = laneFaults[Math.floor(random() * laneFaults.length)]
      await fault(context).catch((err) => violations.push(`${name}: ${err instanceof Error ? err.message : String(err)}`))
      await sleep(random() * opts.maxPauseMs)
    }
  }

  await Promise.all(Object.keys(PLATFORM_FAULT_LANES).map(runLane))
  addTrace('faults ended')
  for (const service of SERVICES) {
    await queryUntilSuccess(system.vms, `primary-${service}`, `WRITE last ${newStatementId()}`, RECOVERY_MS)
      .catch((err) => violations.push(`${service} accepts no write ${RECOVERY_MS} ms after the last fault: ${String(err)}`))
  }
  const written = await Promise.all(writers.map(async (group) => (await Promise.all(group.map((writer) => writer.stop()))).flat()))
  const reads = (await Promise.all(readers.map((reader) => reader.stop()))).flat()
  SERVICES.forEach((service, i) => violations.push(...findWriteViolations(system.groups[i], written[i]).map((line) => `${service}: ${line}`)))
  const statements = (await Promise.all(statementClients.map((client) => client.stop()))).flat()
  violations.push(...findStatementViolations(system.groups, statements).slice(0, MAX_STATEMENT_VIOLATIONS))
  for (const isOwn of reads) if (!isOwn) violations.push('a session did not read its own write')
  await versions.stop()
  const folder = violations.length === 0 ? undefined : saveFailure(system, { violations, trace, written, statements })
  const counts = { reads: reads.length, statements: statements.length, ...countOutcomes(written.flat()) }
  return { seed: opts.seed, faults, trace, violations, ...counts, folder }
}

/** Reads the configuration everywhere, and records a version that is older than one acknowledged before the read was sent. */
function monitorVersions (system: PlatformSystem, violations: string[]) {
  let acknowledged = 0
  let running = true

  async function read (host: string, url: string): Promise<void> {
    const expected = acknowledged
    const res = await fetch(url, { signal: AbortSignal.timeout(1000) }).catch(() => undefined)
    if (res?.status !== 200) return
    const { version } = await res.json() as { readonly version: number }
    if (version < expected) violations.push(`${host} answered with configuration ${version} after ${expected} was acknowledged`)
  }

  async function poll (): Promise<void> {
    while (running) {
      await Promise.all(system.vms.map(({ host, operators }) => read(host, `http://${operators.host}:${operators.port}/-/config`).catch(() => {})))
      await sleep(CONFIG_POLL_MS)
    }
  }

  const ended = poll()
  return {
    acknowledge (version: number) { acknowledged = Math.max(acknowledged, version) },
    async stop () {
      running = false
      await ended
    },
  }
}

interface FailureReport {
  readonly violations: readonly string[]
  readonly trace: readonly string[]
  /** Writes of each service, with what their callers saw. */
  readonly written: readonly (readonly WriteRecord[])[]
  readonly statements: readonly SentStatement[]
}

/** Writes maps as lists of entries, which JSON would leave out. */
function toJsonValue (_key: string, value: unknown): unknown {
  return value instanceof Map ? [...value] : value
}

/** Writes what is needed to explain a failed run to a new folder and returns its path. */
function saveFailure (system: PlatformSystem, report: FailureReport): string {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'briarpick-soak-'))
  fs.writeFileSync(path.join(folder, 'report.json'), JSON.stringify(report, toJsonValue, 2))
  for (const vm of system.vms) {
    for (const role of ['proxy', 'control'] as const) fs.writeFileSync(path.join(folder, `${vm.name}-${role}.log`), system.log(vm, role))
  }
  return folder
}

function countOutcomes (written: readonly WriteRecord[]): Pick<PlatformSoakResult, 'done' | 'refused' | 'unknown'> {
  const count = (outcome: WriteRecord['outcome']) => written.filter((write) => write.outcome === outcome).length
  return { done: count('done'), refused: count('refused'), unknown: count('unknown') }
}
