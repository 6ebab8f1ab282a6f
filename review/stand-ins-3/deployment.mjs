// A small deployment on loopback addresses: the programs of the deploy file as processes, and a stand-in of the platform.
import fs from 'node:fs'
import http from 'node:http'
import os from 'node:os'
import path from 'node:path'
import { spawn } from 'node:child_process'
import { setTimeout as sleep } from 'node:timers/promises'

const ROOT = path.resolve(import.meta.dirname, '../..')
const PORTS = { frontend: 7001, readiness: 7002, admin: 7003, instance: 7004, cloud: 7005, internal: [7010, 7025] }
const BEAT_MS = 1200
/** Delay after which the platform starts a process again that has ended, in ms. */
const RESTART_MS = 300

/** The command of a role in the deploy file. */
function commandOf (role) {
  const text = fs.readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8')
  const [, command] = new RegExp(`\\[roles\\.${role}\\]\\nrun = "([^"]+)"`).exec(text)
  return command.split(' ')
}

/** A loopback network that no other run of the tests on this machine uses at the moment, as well as can be told: drawn by lot. */
export function drawSubnet () {
  return 130 + Math.floor(Math.random() * 100)
}

/** The address of an instance. */
export function instanceAddress (subnet, service, i) {
  return { host: `127.${subnet}.${20 + service}.${i + 1}`, port: PORTS.instance }
}

/**
 * Starts the processes; `databases` have been started before. `record` is called with a line for each event. Control runs on the first
 * `controls` machines, all of them with a disk unless `hasDisk` says otherwise; the first three are the seeds unless `seeds` names others.
 */
export async function startDeployment (opts) {
  const { subnet, machines, controls, databases, config, record, hasDisk = () => true, seeds: seedMachines = [0, 1, 2] } = opts
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'review-3-'))
  const hostOf = (i) => `127.${subnet}.1.${i + 1}`
  const adminOf = (i) => `${hostOf(i)}:${PORTS.admin}`
  const seeds = seedMachines.filter((i) => i < controls).map(adminOf)
  const operated = Array.from({ length: controls }, (_, i) => adminOf(i))
  const cloud = { host: `127.${subnet}.9.1`, port: PORTS.cloud }
  const processes = new Map()
  const ends = []
  /** Number of answers to the operator, by status; 0 for none. */
  const answers = new Map()
  let isClosing = false
  let sequence = 0

  function start (i, role, isFirst) {
    const file = path.join(folder, `${i}-${role}.json`)
    const ip = hostOf(i)
    const counts = i < controls && hasDisk(i)
    fs.writeFileSync(file, JSON.stringify({
      node_name: `edge-${i + 1}`,
      role,
      node_class: 'edge',
      serves: role === 'control' ? ['control'] : ['edge'],
      ip,
      zone: `zone-${i % 3}`,
      region: 'region',
      listen: role === 'control' ? { admin: `${ip}:${PORTS.admin}` } : { frontend: `${ip}:${PORTS.frontend}`, readiness: `${ip}:${PORTS.readiness}` },
      internal_ports: PORTS.internal,
      seeds,
      bootstrap: isFirst,
      loss_counts: counts,
      limits: { cpu_quota: 0.675, cpus: 1, memory_mb: 350, max_fds: 4200, bandwidth_mbps: 1000, disk_mb: counts ? 64 : 0 },
      data_dir: role === 'control' && counts ? path.join(folder, `data-${i}`) : null,
      heartbeat_ms: BEAT_MS,
      contracts: ['base', 'drain', 'config', 'cost', 'recover', 'sql'],
      fault_tolerance: { nodes: 1, zones: 0, regions: 0 },
      bounds: { grace_s: 6, config_apply_ms: 3000, max_skew_ms: 12000 },
      cloud: { address: `${cloud.host}:${cloud.port}`, duties: ['failover'] },
    }))
    const output = fs.openSync(path.join(folder, `${i}-${role}.log`), 'a')
    const [program, ...args] = commandOf(role)
    const child = spawn(program, args, { cwd: ROOT, env: { PATH: process.env.PATH, BRIARPICK_BOOT: file }, stdio: ['ignore', output, output] })
    fs.closeSync(output)
    processes.set(`${i}-${role}`, child)
    child.once('error', (err) => record(`edge-${i + 1} ${role}: cannot be started: ${err.message}`))
    child.once('exit', (code, signal) => {
      if (isClosing) return
      ends.push({ machine: i, role })
      record(`edge-${i + 1} ${role}: ended by itself, exit code ${code}, signal ${signal}`)
      setTimeout(() => { if (!isClosing) start(i, role, false) }, RESTART_MS)
    })
  }

  async function send (method, url, body) {
    for (const admin of operated) {
      const res = await fetch(`http://${admin}${url}`, { method, body, signal: AbortSignal.timeout(1000) }).catch(() => undefined)
      if (url === '/-/config') answers.set(res?.status ?? 0, (answers.get(res?.status ?? 0) ?? 0) + 1)
      if (res !== undefined && res.status < 500) return res.status
    }
    return 0
  }

  function beat () {
    for (const { service, slots, instances } of databases) {
      for (const { id, address, isPrimary, bornMs } of instances) {
        sequence += 1
        send('PUT', `/-/instances/${id}`, JSON.stringify({
          service,
          address: `${address.host}:${address.port}`,
          zone: 'zone-0',
          version: 'v1',
          capacity: slots,
          state: 'ready',
          warmup_left_ms: 0,
          db_role: isPrimary ? 'primary' : 'replica',
          sequence,
          born: bornMs,
        })).catch(() => {})
      }
    }
  }

  const platform = http.createServer((req, res) => {
    let body = ''
    req.on('data', (part) => { body += part })
    req.on('end', () => {
      const { service, id } = JSON.parse(body)
      record(`the platform is asked to promote ${id} by ${req.headers['x-lease-holder']} with token ${req.headers['x-fencing-token']}`)
      databases.find((database) => database.service === service)?.promote(id).catch(() => {})
      res.writeHead(200).end()
    })
  })
  await new Promise((resolve, reject) => platform.once('error', reject).listen(cloud.port, cloud.host, resolve))
  for (let i = 0; i < controls; i += 1) start(i, 'control', true)
  for (let i = 0; i < machines; i += 1) start(i, 'proxy', true)
  const timer = setInterval(beat, BEAT_MS)
  beat()

  return {
    ends,
    answers,
    frontendOf: (i) => ({ host: hostOf(i), port: PORTS.frontend }),
    pidOf: (i, role) => processes.get(`${i}-${role}`)?.pid,
    /** Resident memory of a process, in MB; 0 if it does not run. */
    memoryMb (i, role) {
      try {
        return Math.round(Number(/VmRSS:\s+(\d+)/.exec(fs.readFileSync(`/proc/${processes.get(`${i}-${role}`)?.pid}/status`, 'utf8'))?.[1] ?? 0) / 1024)
      } catch {
        return 0
      }
    },
    outputOf: (i, role) => fs.readFileSync(path.join(folder, `${i}-${role}.log`), 'utf8'),
    /** Sends the configuration until it is acknowledged, and waits until all proxies are ready; false after 20 s. */
    async becomesReady () {
      const deadline = performance.now() + 20_000
      let isAcknowledged = false
      while (performance.now() < deadline) {
        isAcknowledged ||= await send('PUT', '/-/config', JSON.stringify(config)) === 200
        const probes = await Promise.all(Array.from({ length: machines }, async (_, i) =>
          (await fetch(`http://${hostOf(i)}:${PORTS.readiness}/-/readyz`).catch(() => undefined))?.status === 200))
        if (isAcknowledged && probes.every(Boolean)) return true
        await sleep(100)
      }
      return false
    },
    close () {
      isClosing = true
      clearInterval(timer)
      for (const child of processes.values()) child.kill('SIGKILL')
      platform.close()
      fs.rmSync(folder, { recursive: true, force: true })
    },
  }
}
