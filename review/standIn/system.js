// Starts the programs of the deploy file as processes on simulated machines: each machine has a loopback address of its own.
import fs from 'node:fs'
import net from 'node:net'
import os from 'node:os'
import path from 'node:path'
import { spawn } from 'node:child_process'
import { setTimeout as sleep } from 'node:timers/promises'

export const ROOT = path.resolve(import.meta.dirname, '../..')
/** Ports, the same on all machines. */
export const PORTS = { frontend: 7001, readiness: 7002, admin: 7003, instance: 7004, cloud: 7005, internal: [7010, 7025] }
/** The bounds of irp-pool. */
export const BOUNDS = {
  seed_lag_s: 3,
  addr_reuse_s: 2,
  stable_window_ms: 4000,
  ack_ms: 5000,
  catch_up_s: 4,
  drain_ms: 7000,
  grace_s: 6,
  loss_slack_ms: 200,
  config_apply_ms: 3000,
  downgrade_slack_ms: 250,
  max_skew_ms: 12000,
  recovery_s: 12,
  fencing: false,
  unfreeze_slack_ms: 300,
}
const ZONES = ['zone-a', 'zone-b', 'zone-c']
const SUBNETS = { first: 40, count: 200 }

/** Returns the command of each role of the deploy file, as words. */
function readCommands () {
  const commands = {}
  let role
  for (const line of fs.readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8').split('\n')) {
    role = /^\[roles\.(\w+)\]/.exec(line)?.[1] ?? role
    const run = /^run = "(.*)"$/.exec(line)?.[1]
    if (run !== undefined) commands[role] = run.split(' ')
  }
  return commands
}

function isFree (host) {
  return new Promise((resolve) => {
    const server = net.createServer()
    server.once('error', () => resolve(false))
    server.listen(PORTS.internal[0], host, () => server.close(() => resolve(true)))
  })
}

/** Returns the second byte of a range of loopback addresses that nobody uses. */
export async function findSubnet () {
  const start = process.pid % SUBNETS.count
  for (let i = 0; i < SUBNETS.count; i += 1) {
    const subnet = SUBNETS.first + (start + i) % SUBNETS.count
    if (await isFree(`127.${subnet}.1.1`) && await isFree(`127.${subnet}.1.2`)) return subnet
  }
  throw new Error('no free loopback addresses')
}

/**
 * Starts `counted` machines with a disk, which run control and a proxy, and `others` without one, which run a proxy.
 * `subnet` is the second byte of all addresses.
 */
export async function startSystem ({ subnet, record, counted = 3, others = 3 }) {
  const commands = readCommands()
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'))
  const processes = new Map()
  const cloud = `127.${subnet}.9.1:${PORTS.cloud}`

  const machines = Array.from({ length: counted + others }, (_, i) => ({
    name: `edge-${i + 1}`,
    host: `127.${subnet}.1.${i + 1}`,
    zone: ZONES[i % ZONES.length],
    hasDisk: i < counted,
    roles: i < counted ? ['control', 'proxy'] : ['proxy'],
  }))
  const seeds = machines.slice(0, 3).map(({ host }) => `${host}:${PORTS.admin}`)

  function settingsOf (machine, role, bootstrap) {
    const dataDir = path.join(folder, `${machine.name}-disk`, role)
    if (machine.hasDisk) fs.mkdirSync(dataDir, { recursive: true })
    const address = (port) => `${machine.host}:${port}`
    return {
      node_name: machine.name,
      role,
      node_class: 'edge',
      serves: role === 'control' ? ['control'] : ['edge'],
      ip: machine.host,
      zone: machine.zone,
      region: 'region',
      zones: Object.fromEntries(ZONES.map((zone) => [zone, 'region'])),
      listen: role === 'control'
        ? { admin: address(PORTS.admin) }
        : { frontend: address(PORTS.frontend), readiness: address(PORTS.readiness) },
      internal_ports: PORTS.internal,
      seeds,
      bootstrap,
      loss_counts: machine.hasDisk,
      limits: { cpu_quota: 0.608, cpus: 2, memory_mb: 350, max_fds: 4200, bandwidth_mbps: 1000, disk_mb: 64 },
      data_dir: machine.hasDisk ? dataDir : null,
      discovery: 'registry',
      entry: 'vip',
      heartbeat_ms: 1200,
      contracts: ['base', 'drain', 'config', 'cost', 'recover', 'sql'],
      fault_tolerance: { nodes: 1, zones: 0, regions: 0 },
      bounds: BOUNDS,
      config_mode: 'highest',
      cloud: { address: cloud, rate_per_s: 50, duties: ['failover'], duty_per_s: 50 },
    }
  }

  const keyOf = (machine, role) => `${machine.name}-${role}`
  const logFile = (machine, role) => path.join(folder, `${keyOf(machine, role)}.log`)

  function start (machine, role, bootstrap = false) {
    const settings = path.join(folder, `${keyOf(machine, role)}.json`)
    fs.writeFileSync(settings, JSON.stringify(settingsOf(machine, role, bootstrap)))
    const output = fs.openSync(logFile(machine, role), 'a')
    const [program, ...args] = commands[role]
    const { PATH, HOME } = process.env
    const child = spawn(program, args, { cwd: ROOT, env: { PATH, HOME, BRIARPICK_BOOT: settings }, stdio: ['ignore', output, output] })
    fs.closeSync(output)
    processes.set(keyOf(machine, role), child)
    record(`start ${keyOf(machine, role)}`)
  }

  function signal (machine, role, name) {
    processes.get(keyOf(machine, role))?.kill(name)
    record(`${name} ${keyOf(machine, role)}`)
  }

  /** Log lines of a process so far, parsed. */
  function log (machine, role) {
    const lines = fs.existsSync(logFile(machine, role)) ? fs.readFileSync(logFile(machine, role), 'utf8').split('\n') : []
    return lines.flatMap((line) => {
      try {
        return [JSON.parse(line)]
      } catch {
        return []
      }
    })
  }

  /** Log lines with an event, of all processes of a role, in order of time. */
  function events (role, ...names) {
    return machines.filter(({ roles }) => roles.includes(role))
      .flatMap((machine) => log(machine, role).filter(({ event }) => names.includes(event)).map((line) => ({ ...line, machine })))
      .sort((a, b) => a.time < b.time ? -1 : 1)
  }

  for (const machine of machines) for (const role of machine.roles) start(machine, role, true)

  return {
    folder,
    cloud,
    machines,
    controls: machines.filter(({ hasDisk }) => hasDisk).map(({ host }) => `${host}:${PORTS.admin}`),
    start,
    signal,
    events,
    /** The machine whose proxy became the home of a database last. */
    homeOf: (database) => events('proxy', 'homeStarted').findLast((line) => line.database === database)?.machine,
    /** The machine whose control process became the leader last. */
    leader: () => events('control', 'roleChanged').findLast(({ role }) => role === 'leader')?.machine,
    async kill (machine, role) {
      const child = processes.get(keyOf(machine, role))
      if (child === undefined || child.exitCode !== null || child.signalCode !== null) return
      const ended = new Promise((resolve) => child.once('exit', resolve))
      signal(machine, role, 'SIGKILL')
      await ended
    },
    /** Waits until all proxies are ready. */
    async ready () {
      for (const { host } of machines) {
        await until(async () => (await fetch(`http://${host}:${PORTS.readiness}/-/readyz`).catch(() => undefined))?.status === 200, 20_000, `${host} is ready`)
      }
    },
    async close () {
      for (const child of processes.values()) {
        if (child.exitCode !== null || child.signalCode !== null) continue
        const ended = new Promise((resolve) => child.once('exit', resolve))
        child.kill('SIGKILL')
        await ended
      }
      if (process.env.KEEP === undefined) fs.rmSync(folder, { recursive: true, force: true })
      else console.log(`logs are kept in ${folder}`)
    },
  }
}

/** Waits until a condition holds; rejects after the time limit, in ms. */
export async function until (condition, limitMs, what) {
  const deadline = performance.now() + limitMs
  while (performance.now() < deadline) {
    const result = await condition()
    if (result) return result
    await sleep(20)
  }
  throw new Error(`not in time: ${what}`)
}

/** Sends a request to one daemon; resolves with its status, 0 if there is no response within a second. */
export async function call (method, address, requestPath, body) {
  const init = { method, body, signal: AbortSignal.timeout(1000), headers: { 'content-type': 'application/json' } }
  const res = await fetch(`http://${address}${requestPath}`, init).catch(() => undefined)
  await res?.arrayBuffer().catch(() => undefined)
  return res?.status ?? 0
}

/** Puts a configuration with one route of each kind, as the operator does: to any daemon, again until it is acknowledged. */
export async function putConfig (system, version, service) {
  const kinds = [['primary', 0], ['read_your_writes', 2500], ['bounded_staleness', 1500]]
  const config = {
    version,
    routes: kinds.map(([kind, age], i) => ({
      name: `r-${i}`,
      host: hostOf(kind, service),
      path_prefix: '/',
      kind,
      timeout_ms: 800,
      target_latency_ms: 200,
      priority: 1,
      service,
      max_attempts: 2,
      max_staleness_ms: age,
    })),
    services: [{ name: service, health_path: '/healthz', max_conns: 16, protocol: 'h1', tls: false, sync_replicas: 1 }],
    limits: { max_header_bytes: 16384, max_body_bytes: 262144, header_timeout_ms: 3000, idle_timeout_ms: 15000, tx_idle_ms: 3000 },
  }
  let i = 0
  await until(async () => {
    i += 1
    return await call('PUT', system.controls[i % system.controls.length], '/-/config', JSON.stringify(config)) === 200
  }, 20_000, 'the configuration is acknowledged')
}

/** Name that callers of a route kind connect to. */
export function hostOf (kind, service) {
  return `${kind.replaceAll('_', '')}-${service}`
}
