import fs from 'node:fs'
import os from 'node:os'
import path from 'node:path'
import { type ChildProcess, spawn } from 'node:child_process'
import { setTimeout as sleep } from 'node:timers/promises'
import { type Address, formatAddress } from '@briarpick/types'
import { createStandInGroup, type StandInGroup } from './createStandInGroup.js'
import { createStandInPlatform, putDocument, retryUntilAnswered, type StandInPlatform } from './createStandInPlatform.js'

/** A VM of the system, simulated by a loopback address of its own. */
export interface SystemVm {
  readonly name: string
  readonly host: string
  /** Address for callers. */
  readonly callers: Address
  /** Address of the readiness endpoint. */
  readonly readiness: Address
  /** Address for operators. */
  readonly operators: Address
  /** Folder for persistent data; undefined on a VM without a disk. */
  readonly dataFolder: string | undefined
}

/** Proxies and control nodes as real processes on simulated VMs, with a stand-in for the platform. */
export interface PlatformSystem {
  readonly vms: readonly SystemVm[]
  readonly groups: readonly StandInGroup[]
  readonly platform: StandInPlatform
  /** Starts a process; `isFirstStart` sets the bootstrap setting. */
  start: (vm: SystemVm, role: RoleName, isFirstStart?: boolean) => void
  /** Sends a signal to a process and waits until it exits. */
  stop: (vm: SystemVm, role: RoleName, signal: NodeJS.Signals) => Promise<void>
  /** Sends a signal to a process. */
  signal: (vm: SystemVm, role: RoleName, signal: NodeJS.Signals) => void
  /** Settings file of a process. */
  settingsFile: (vm: SystemVm, role: RoleName) => string
  /** Output of a process so far. */
  log: (vm: SystemVm, role: RoleName) => string
  /** Resident memory of a process, in MiB. */
  memoryMib: (vm: SystemVm, role: RoleName) => number
  /** Submits a configuration, with retries until the HTTP status is 200 to 499; resolves with the last status. */
  putConfig: (config: unknown) => Promise<number>
  /** Configuration that a VM serves, with retries until the HTTP status is 200; undefined after the timeout. */
  getConfig: (vm: SystemVm) => Promise<{ readonly version: number } | undefined>
  /** Waits until a proxy reports that it is ready; rejects with its log after the timeout. */
  ready: (vm: SystemVm) => Promise<void>
  close: () => Promise<void>
}

/** Programs of the deploy file. */
export type RoleName = 'proxy' | 'control'

/** Options of a system. */
export interface PlatformSystemOptions {
  /** Second byte of the loopback addresses; a different one in each test avoids port conflicts. */
  readonly subnet: number
  readonly controls?: number
  readonly proxies?: number
  readonly services?: readonly string[]
  /** Service time of a statement at an instance, in ms. */
  readonly serviceTimeMs?: number
  /** Number of control VMs without a disk, counted from the first VM. */
  readonly withoutDisk?: number
  /** Number of VMs, counted from the last, whose bandwidth suits no home. */
  readonly smallVms?: number
  /** Options of the Node.js processes. */
  readonly nodeOptions?: readonly string[]
}

const ROOT = path.resolve(import.meta.dirname, '../../..')
const PROGRAM = path.join(ROOT, 'platform/bin/development.js')
/** Bandwidth of a small VM and of the others, in Mbit/s. */
const SMALL_MBPS = 2
const LARGE_MBPS = 100
/** Ports of a VM, the same on each. */
const PORTS = { frontend: 7001, readiness: 7002, admin: 7003, instances: 7004, cloud: 7005, internal: 7010 }
/** Port of each role's metrics. */
export const METRICS_PORTS: Readonly<Record<RoleName, number>> = { proxy: 7006, control: 7007 }
const CONFIG_TIMEOUT_MS = 15_000
const READY_TIMEOUT_MS = 15_000
const POLL_MS = 50

/** A tenant of a configuration document. */
export interface StandInTenant {
  readonly name: string
  readonly api_keys: readonly string[]
  readonly rate_per_s?: number
  readonly burst?: number
}

/** Configuration document with one route of each kind to each service, and without tenants unless they are given. */
export function standInConfig (version: number, services: readonly string[], tenants?: readonly StandInTenant[]): unknown {
  const kinds = [['primary', 0], ['read_your_writes', 2500], ['bounded_staleness', 1500]] as const
  const routes = services.flatMap((service) => kinds.map(([kind, age]) => ({
    name: `${kind}-${service}`,
    host: `${kind}-${service}`,
    path_prefix: '/',
    kind,
    timeout_ms: 2000,
    target_latency_ms: 200,
    priority: 1,
    service,
    max_staleness_ms: age,
  })))
  return {
    version,
    routes,
    services: services.map((name) => ({ name, max_conns: 16, sync_replicas: 1 })),
    limits: { tx_idle_ms: 3000 },
    ...tenants === undefined ? {} : { tenants },
  }
}

/** Starts control nodes, proxies and the platform stand-in, with a group of three instances for each service. */
export async function startPlatformSystem (opts: PlatformSystemOptions): Promise<PlatformSystem> {
  const { controls = 3, proxies = 3, services = ['ledger'] } = opts
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'briarpick-platform-'))
  const processes = new Map<string, ChildProcess>()
  const firstWithDisk = opts.withoutDisk ?? 0
  const dataRootOf = (i: number) => i >= firstWithDisk && i < controls ? folder : undefined
  const vms = Array.from({ length: Math.max(controls, proxies) }, (_, i) => describeVm(opts.subnet, i, dataRootOf(i)))
  const seeds = vms.slice(0, 3).map(({ operators }) => operators)
  const cloud = { host: `127.${opts.subnet}.9.1`, port: PORTS.cloud }
  const groups = await Promise.all(services.map(async (service, s) => await createStandInGroup({
    service,
    serviceTimeMs: opts.serviceTimeMs,
    addresses: [0, 1, 2].map((i) => ({ host: `127.${opts.subnet}.${20 + s}.${i + 1}`, port: PORTS.instances })),
  })))
  const controlAddresses = vms.slice(0, controls).map(({ operators }) => operators)
  const platform = await createStandInPlatform({ listen: cloud, groups, controls: controlAddresses })

  const processKey = (vm: SystemVm, role: RoleName) => `${vm.name}-${role}`
  const logFile = (vm: SystemVm, role: RoleName) => path.join(folder, `${processKey(vm, role)}.log`)

  const settingsFile = (vm: SystemVm, role: RoleName) => path.join(folder, `${processKey(vm, role)}.json`)

  function start (vm: SystemVm, role: RoleName, isFirstStart = false): void {
    const file = settingsFile(vm, role)
    const isSmall = vms.indexOf(vm) >= vms.length - (opts.smallVms ?? 0)
    fs.writeFileSync(file, JSON.stringify({
      ...settingsOf(vm, seeds, cloud, isFirstStart),
      limits: { bandwidth_mbps: isSmall ? SMALL_MBPS : LARGE_MBPS },
    }))
    const output = fs.openSync(logFile(vm, role), 'a')
    const args = [...opts.nodeOptions ?? [], PROGRAM, role, '--metrics', String(METRICS_PORTS[role])]
    const child = spawn(process.execPath, args, { env: { BRIARPICK_BOOT: file }, stdio: ['ignore', output, output] })
    fs.closeSync(output)
    processes.set(processKey(vm, role), child)
  }

  async function stop (vm: SystemVm, role: RoleName, signal: NodeJS.Signals): Promise<void> {
    const child = processes.get(processKey(vm, role))
    processes.delete(processKey(vm, role))
    if (child === undefined || child.exitCode !== null || child.signalCode !== null) return
    const ended = new Promise((resolve) => child.once('exit', resolve))
    child.kill(signal)
    await ended
  }

  for (const vm of vms.slice(0, controls)) start(vm, 'control', true)
  for (const vm of vms.slice(0, proxies)) start(vm, 'proxy', true)

  return {
    vms,
    groups,
    platform,
    start,
    stop,
    signal: (vm, role, signal) => { processes.get(processKey(vm, role))?.kill(signal) },
    settingsFile,
    memoryMib (vm, role) {
      const status = fs.readFileSync(`/proc/${processes.get(processKey(vm, role))?.pid}/status`, 'utf8')
      return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1]) / 1024
    },
    log: (vm, role) => fs.readFileSync(logFile(vm, role), 'utf8'),
    async putConfig (config) {
      return await retryUntilAnswered(() => putDocument(controlAddresses, '/-/config', JSON.stringify(config)), CONFIG_TIMEOUT_MS)
    },
    async getConfig (vm) {
      const deadline = performance.now() + CONFIG_TIMEOUT_MS
      while (performance.now() < deadline) {
        const res = await fetch(`http://${formatAddress(vm.operators)}/-/config`, { signal: AbortSignal.timeout(1000) }).catch(() => undefined)
        if (res?.status === 200) return await res.json() as { version: number }
        await sleep(POLL_MS)
      }
      return undefined
    },
    async ready (vm) {
      const deadline = performance.now() + READY_TIMEOUT_MS
      while (performance.now() < deadline) {
        const res = await fetch(`http://${formatAddress(vm.readiness)}/-/readyz`).catch(() => undefined)
        if (res?.status === 200) return
        await sleep(POLL_MS)
      }
      throw new Error(`${vm.name} did not become ready:\n${fs.readFileSync(logFile(vm, 'proxy'), 'utf8')}`)
    },
    async close () {
      for (const vm of vms) for (const role of ['proxy', 'control'] as const) await stop(vm, role, 'SIGKILL')
      await platform.close()
      for (const group of groups) await group.close()
      fs.rmSync(folder, { recursive: true, force: true })
    },
  }
}

function describeVm (subnet: number, i: number, dataRoot: string | undefined): SystemVm {
  const host = `127.${subnet}.1.${i + 1}`
  return {
    name: `vm-${i + 1}`,
    host,
    callers: { host, port: PORTS.frontend },
    readiness: { host, port: PORTS.readiness },
    operators: { host, port: PORTS.admin },
    dataFolder: dataRoot === undefined ? undefined : path.join(dataRoot, `vm-${i + 1}-data`),
  }
}

function settingsOf (vm: SystemVm, seeds: readonly Address[], cloud: Address, isFirstStart: boolean): Readonly<Record<string, unknown>> {
  return {
    node_name: vm.name,
    ip: vm.host,
    zone: 'centro',
    listen: { frontend: formatAddress(vm.callers), readiness: formatAddress(vm.readiness), admin: formatAddress(vm.operators) },
    internal_ports: [PORTS.internal, PORTS.internal + 9],
    seeds: seeds.map(formatAddress),
    bootstrap: isFirstStart,
    data_dir: vm.dataFolder ?? null,
    fault_tolerance: { nodes: 1, zones: 0, regions: 0 },
    bounds: { grace_s: 6, max_skew_ms: 12_000 },
    cloud: { address: formatAddress(cloud) },
  }
}
