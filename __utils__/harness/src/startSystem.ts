import fs from 'node:fs'
import os from 'node:os'
import path from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import pg from 'pg'
import { type Address, type DatabaseView, type SubmitBundleResult } from '@briarpick/types'
import { generateSignerKeys, type SignerKeys } from '@briarpick/bundle'
import { type ControlStatus } from '@briarpick/daemon-control'
import { REPLICA_USER, STAND_IN_DEFAULTS, type StandInOptions } from '@briarpick/stand-in'
import { createFaultProxy, type FaultProxy } from './createFaultProxy.js'
import { findFreePorts } from './findFreePorts.js'
import { BIN, type DaemonProcess, HOST, ROOT, SIGNER, startControls } from './startControls.js'
import { type StartedProcess, startProcess } from './startProcess.js'

/** Options of a system. */
export interface SystemOptions {
  readonly controls?: number
  readonly proxies?: number
  readonly databases?: readonly string[]
  readonly service?: string
  readonly dataCentres?: readonly string[]
  /** Number of targets of each database. */
  readonly instances?: number
  readonly standIn?: Partial<StandInOptions>
  /** Delay in each direction of a connection to a target, in ms. */
  readonly targetDelayMs?: number
  /** Text of a bundle that is submitted at the start. */
  readonly bundle?: string
  /** Value of DEBUG for the processes; their logs are then kept. */
  readonly logs?: string
  /** Additional lines for the `[callers]` section of each proxy's settings. */
  readonly callerSettings?: readonly string[]
}

/** A stand-in target in its own process, behind a fault-injecting proxy. */
export interface TargetProcess {
  readonly instance: string
  readonly database: string
  readonly options: StandInOptions
  readonly faultProxy: FaultProxy
  process: StartedProcess
}

/** A running system. */
export interface System {
  readonly folder: string
  readonly keys: SignerKeys
  readonly controls: readonly DaemonProcess[]
  readonly proxies: readonly DaemonProcess[]
  readonly targets: readonly TargetProcess[]
  readonly controlAddresses: readonly Address[]
  /** Status from the confirmed leader; rejects if there is none. */
  status: () => Promise<ControlStatus>
  /** The confirmed leader's view of a database, once there is a leader; rejects after the timeout. */
  view: (database: string) => Promise<DatabaseView>
  /** Polls the status until a condition holds; rejects after the timeout with the last status. `description` is for that error. */
  waitForStatus: (description: string, condition: (status: ControlStatus) => boolean, timeoutMs?: number) => Promise<ControlStatus>
  submitBundle: (text: string, signer?: string) => Promise<SubmitBundleResult>
  /** Throws if there is no target of that name. */
  target: (instance: string) => TargetProcess
  /** Kills a target and starts it as an empty replica without a primary. */
  restartTarget: (instance: string) => Promise<void>
  /** Runs a statement directly on a target; resolves with the first column of the first row as text. */
  queryTarget: (instance: string, statement: string) => Promise<string>
  /** Kills a daemon and starts it again. */
  restartDaemon: (daemon: DaemonProcess) => Promise<void>
  close: () => Promise<void>
}

const STAND_IN = path.join(ROOT, '__utils__/standIn/lib/main.js')
const POLL_MS = 50
const STATUS_TIMEOUT_MS = 20_000
const RPC_TIMEOUT_MS = 2000

/** Starts control daemons, proxies and stand-in targets, each in its own process, and waits until all databases are open. */
export async function startSystem (opts: SystemOptions = {}): Promise<System> {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'briarpick-'))
  const keys = generateSignerKeys()
  const databases = opts.databases ?? ['ledger']
  const dataCentres = opts.dataCentres ?? ['centro', 'prado', 'canelones']
  const faultProxies: FaultProxy[] = []
  const env: Record<string, string> = opts.logs === undefined ? {} : { DEBUG: opts.logs }

  const startFaultProxy = async (to: Address): Promise<FaultProxy> => {
    const created = await createFaultProxy({ to })
    faultProxies.push(created)
    return created
  }
  const startNamedProcess = (name: string, args: readonly string[]) => startProcess({ name, args, logFile: path.join(folder, `${name}.log`), env })

  async function startProxies (count: number, controls: readonly DaemonProcess[]): Promise<readonly DaemonProcess[]> {
    const ports = await findFreePorts(count * 3)
    return await Promise.all(Array.from({ length: count }, async (_, i) => {
      const name = `proxy-${i + 1}`
      const [callers, link, rpc] = ports.slice(i * 3, i * 3 + 3)
      const controlFaultProxies = new Map<string, FaultProxy>()
      for (const control of controls) controlFaultProxies.set(control.name, await startFaultProxy(control.address))
      const settingsFile = path.join(folder, `${name}.toml`)
      fs.writeFileSync(settingsFile, [
        `name = "${name}"`, `data_centre = "${dataCentres[i % dataCentres.length]}"`,
        `control = [${[...controlFaultProxies.values()].map((proxy) => `"${HOST}:${proxy.address.port}"`).join()}]`,
        '[callers]', `listen = "${HOST}:${callers}"`, ...opts.callerSettings ?? [], '[link]', `listen = "${HOST}:${link}"`, '[rpc]', `listen = "${HOST}:${rpc}"`,
        '[signers]', `"${SIGNER}" = "${keys.publicKey}"`,
      ].join('\n'))
      return {
        name,
        address: { host: HOST, port: rpc },
        callers: { host: HOST, port: callers },
        settingsFile,
        dataFolder: '',
        controlFaultProxies,
        process: await startNamedProcess(name, [BIN, 'proxy', '--settings', settingsFile]),
      }
    }))
  }

  async function startTargets (database: string, announceTo: readonly Address[]): Promise<readonly TargetProcess[]> {
    const count = opts.instances ?? 3
    const ports = await findFreePorts(count)
    const advertisedProxies: FaultProxy[] = []
    for (const port of ports) advertisedProxies.push(await startFaultProxy({ host: HOST, port }))
    for (const proxy of advertisedProxies) proxy.set({ delayMs: opts.targetDelayMs ?? 0 })
    return await Promise.all(ports.map(async (port, i) => {
      const instance = `${database}-${'abcdefgh'[i]}`
      const options: StandInOptions = {
        ...STAND_IN_DEFAULTS,
        service: opts.service ?? 'rent-ledger',
        database,
        instance,
        dataCentre: dataCentres[i % dataCentres.length],
        listen: { host: HOST, port },
        advertise: advertisedProxies[i].address,
        announceTo: [...announceTo.slice(i), ...announceTo.slice(0, i)],
        role: i === 0 ? 'primary' : 'replica',
        primary: i === 0 ? undefined : advertisedProxies[0].address,
        ...opts.standIn,
      }
      const started = await startNamedProcess(instance, [STAND_IN, JSON.stringify(options)])
      return { instance, database, options, faultProxy: advertisedProxies[i], process: started }
    }))
  }

  const cluster = await startControls({ count: opts.controls ?? 3, folder, dataCentres, keys, env })
  const { controls } = cluster
  const proxies = await startProxies(opts.proxies ?? 3, controls)
  const targets = (await Promise.all(databases.map((database) => startTargets(database, proxies.map((proxy) => proxy.address))))).flat()
  const controlAddresses = controls.map((control) => control.address)

  async function waitForStatus (
    description: string,
    condition: (status: ControlStatus) => boolean,
    timeoutMs = STATUS_TIMEOUT_MS
  ): Promise<ControlStatus> {
    const deadline = performance.now() + timeoutMs
    let last: ControlStatus | undefined
    while (performance.now() < deadline) {
      last = await cluster.status().catch(() => undefined)
      if (last !== undefined && condition(last)) return last
      await sleep(POLL_MS)
    }
    throw new Error(`timed out after ${timeoutMs} ms waiting for: ${description}; last status: ${JSON.stringify(last)}; logs in ${folder}`)
  }

  function target (instance: string): TargetProcess {
    const found = targets.find((candidate) => candidate.instance === instance)
    if (found === undefined) throw new Error(`unknown target ${instance}`)
    return found
  }

  const system: System = {
    folder,
    keys,
    controls,
    proxies,
    targets,
    controlAddresses,
    status: cluster.status,
    waitForStatus,
    submitBundle: cluster.submitBundle,
    target,
    async view (database) {
      const { views } = await waitForStatus('a confirmed leader', () => true)
      return views.find((view) => view.database === database) as DatabaseView
    },
    async restartTarget (instance) {
      const found = target(instance)
      found.process.kill('SIGKILL')
      await found.process.exited
      const options = { ...found.options, role: 'replica', term: 0, primary: undefined }
      found.process = await startNamedProcess(instance, [STAND_IN, JSON.stringify(options)])
    },
    async queryTarget (instance, statement) {
      const { options } = target(instance)
      const { listen, database } = options
      const client = new pg.Client({ ...listen, database, user: REPLICA_USER, connectionTimeoutMillis: RPC_TIMEOUT_MS })
      client.on('error', () => {})
      await client.connect()
      try {
        const { rows } = await client.query({ text: statement, rowMode: 'array' })
        return String(rows[0]?.[0])
      } finally {
        await client.end()
      }
    },
    async restartDaemon (daemon) {
      daemon.process.kill('SIGKILL')
      await daemon.process.exited
      const kind = daemon.dataFolder === '' ? 'proxy' : 'control'
      daemon.process = await startNamedProcess(daemon.name, [BIN, kind, '--settings', daemon.settingsFile])
    },
    async close () {
      const all = [...targets, ...proxies].map(({ process: started }) => started)
      for (const started of all) started.kill('SIGKILL')
      await Promise.all(all.map((started) => started.exited))
      await Promise.all([...faultProxies.map((proxy) => proxy.close()), cluster.close()])
      if (opts.logs === undefined) fs.rmSync(folder, { recursive: true, force: true })
    },
  }

  if (opts.bundle !== undefined) {
    await waitForStatus('a leader', () => true)
    await cluster.submitBundle(opts.bundle)
  }
  const instances = opts.instances ?? 3
  const isReady = (view: DatabaseView) => view.state === 'open' && view.members.length === instances && view.inSync.length > 0
  await waitForStatus('all databases open with an in-sync replica', ({ views }) => views.length === databases.length && views.every(isReady))
  return system
}
