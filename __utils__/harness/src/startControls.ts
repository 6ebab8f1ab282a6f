import fs from 'node:fs'
import path from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { type Address, type SubmitBundleResult } from '@briarpick/types'
import { generateSignerKeys, signBundle, type SignerKeys } from '@briarpick/bundle'
import { type ControlStatus } from '@briarpick/daemon-control'
import { initDataFolder } from '@briarpick/consensus-log'
import { createRpcClient } from '@briarpick/rpc'
import { createFaultProxy, type FaultProxy } from './createFaultProxy.js'
import { findFreePorts } from './findFreePorts.js'
import { type StartedProcess, startProcess } from './startProcess.js'

/** A control daemon or proxy in its own process. */
export interface DaemonProcess {
  readonly name: string
  /** Address of its RPC server. */
  readonly address: Address
  /** Address for callers; on a control daemon, which has no callers, the same as `address`. */
  readonly callers: Address
  readonly settingsFile: string
  /** Empty for a proxy. */
  readonly dataFolder: string
  /** Fault-injecting proxies on this daemon's connections to control nodes, by the node's name. */
  readonly controlFaultProxies: ReadonlyMap<string, FaultProxy>
  process: StartedProcess
}

/** A running cluster of control daemons. */
export interface ControlCluster {
  readonly controls: readonly DaemonProcess[]
  /** Status from the confirmed leader; rejects if there is none. */
  status: () => Promise<ControlStatus>
  leader: () => Promise<DaemonProcess>
  /** Signs and submits a bundle, with retries until a control node returns a verdict; rejects after the timeout. */
  submitBundle: (text: string, signer?: string) => Promise<SubmitBundleResult>
  close: () => Promise<void>
}

/** Options of a cluster. */
export interface StartControlsOptions {
  readonly count: number
  /** Folder for settings, data and logs of the daemons. */
  readonly folder: string
  readonly dataCentres?: readonly string[]
  /** Keys that sign bundles; new ones by default. */
  readonly keys?: SignerKeys
  readonly env?: Readonly<Record<string, string>>
}

/** Name under which the harness signs bundles. */
export const SIGNER = 'Ana Pérez'
/** Host that all processes listen on. */
export const HOST = '127.0.0.1'
/** Root folder of the workspace. */
export const ROOT = path.resolve(import.meta.dirname, '../../..')
/** Path of the command line program. */
export const BIN = path.join(ROOT, 'cli/briarpick/bin/briarpick.js')

const POLL_MS = 50
const SUBMIT_TIMEOUT_MS = 20_000
const RPC_TIMEOUT_MS = 2000

async function callRpc<R> (address: Address, method: string, params: unknown): Promise<R> {
  const client = createRpcClient({ address })
  try {
    return await client.request<R>(method, params, { timeoutMs: RPC_TIMEOUT_MS })
  } finally {
    client.close()
  }
}

/** Starts the control daemons of a new cluster, with a fault-injecting proxy for each direction between two of them. */
export async function startControls (opts: StartControlsOptions): Promise<ControlCluster> {
  const { folder } = opts
  const dataCentres = opts.dataCentres ?? ['centro']
  const keys = opts.keys ?? generateSignerKeys()
  const faultProxies: FaultProxy[] = []
  const ports = await findFreePorts(opts.count)
  const names = ports.map((_, i) => `control-${i + 1}`)
  const controls = await Promise.all(names.map((_, i) => startControl(i)))

  async function startControl (i: number): Promise<DaemonProcess> {
    const name = names[i]
    const controlFaultProxies = new Map<string, FaultProxy>()
    for (const [j, other] of names.entries()) {
      if (i === j) continue
      const faultProxy = await createFaultProxy({ to: { host: HOST, port: ports[j] } })
      faultProxies.push(faultProxy)
      controlFaultProxies.set(other, faultProxy)
    }
    const nodes = names.map((other, j) => `"${other}" = "${HOST}:${controlFaultProxies.get(other)?.address.port ?? ports[j]}"`)
    const dataFolder = path.join(folder, name)
    const settingsFile = path.join(folder, `${name}.toml`)
    fs.writeFileSync(settingsFile, [
      `name = "${name}"`, `data_centre = "${dataCentres[i % dataCentres.length]}"`, `data_folder = "${dataFolder}"`,
      `listen = "${HOST}:${ports[i]}"`, '[nodes]', ...nodes, '[signers]', `"${SIGNER}" = "${keys.publicKey}"`,
    ].join('\n'))
    initDataFolder(dataFolder, name, names)
    const address = { host: HOST, port: ports[i] }
    const args = [BIN, 'control', '--settings', settingsFile]
    const started = await startProcess({ name, args, logFile: path.join(folder, `${name}.log`), env: opts.env })
    return { name, address, callers: address, settingsFile, dataFolder, controlFaultProxies, process: started }
  }

  async function status (): Promise<ControlStatus> {
    const running = controls.filter((control) => control.process.isRunning())
    const answers = await Promise.allSettled(running.map((control) => callRpc<ControlStatus>(control.address, 'control.status', {})))
    const leaderStatuses = answers.flatMap((answer) => answer.status === 'fulfilled' && answer.value.ready ? [answer.value] : [])
    if (leaderStatuses.length === 0) throw new Error('no control node is the confirmed leader')
    return leaderStatuses[0]
  }

  return {
    controls,
    status,
    async leader () {
      const { agreement } = await status()
      return controls.find(({ name }) => agreement.leader?.startsWith(`${name}:`)) as DaemonProcess
    },
    async submitBundle (text, signer = SIGNER) {
      const bundle = signBundle(text, signer, keys.privateKey).unwrapOrElse((err) => { throw err })
      const deadline = performance.now() + SUBMIT_TIMEOUT_MS
      for (let attempt = 0; ; attempt++) {
        try {
          return await callRpc<SubmitBundleResult>(controls[attempt % controls.length].address, 'bundle.submit', { bundle })
        } catch (err) {
          if (performance.now() > deadline) throw err
          if (attempt % controls.length === controls.length - 1) await sleep(POLL_MS)
        }
      }
    },
    async close () {
      for (const control of controls) control.process.kill('SIGKILL')
      await Promise.all(controls.map((control) => control.process.exited))
      await Promise.all(faultProxies.map((faultProxy) => faultProxy.close()))
    },
  }
}
