import fs from 'node:fs'
import path from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { type Address, type SubmitBundleResult } from '@briarpick/types'
import { generateSignerKeys, signBundle, type SignerKeys } from '@briarpick/bundle'
import { type ControlStatus } from '@briarpick/daemon-control'
import { initFolder } from '@briarpick/consensus-log'
import { createRpcClient } from '@briarpick/rpc'
import { createFaultProxy, type FaultProxy } from './createFaultProxy.js'
import { freePorts } from './freePorts.js'
import { type StartedProcess, startProcess } from './startProcess.js'

/** A daemon in a process of its own. */
export interface DaemonProcess {
  readonly name: string
  readonly address: Address
  /** Address where callers connect; for proxies only. */
  readonly callers: Address
  readonly settingsFile: string
  readonly dataFolder: string
  /** Between this daemon and each control node, by the node's name. */
  readonly controlFaults: ReadonlyMap<string, FaultProxy>
  process: StartedProcess
}

/** Control daemons of one cluster. */
export interface ControlCluster {
  readonly controls: readonly DaemonProcess[]
  /** Status as the confirmed leader gives it. */
  status: () => Promise<ControlStatus>
  leader: () => Promise<DaemonProcess>
  submitBundle: (text: string, signer?: string) => Promise<SubmitBundleResult>
  close: () => Promise<void>
}

/** Options of a cluster. */
export interface StartControlsOptions {
  readonly count: number
  /** Folder for settings, data and logs. */
  readonly folder: string
  readonly dataCentres?: readonly string[]
  readonly keys?: SignerKeys
  readonly env?: Readonly<Record<string, string>>
}

/** Name of the person who signs the harness's bundles. */
export const SIGNER = 'Ana Pérez'
/** Address that everything listens on. */
export const HOST = '127.0.0.1'
/** Folder of the workspace. */
export const ROOT = path.resolve(import.meta.dirname, '../../..')
/** The command line. */
export const BIN = path.join(ROOT, 'cli/briarpick/bin/briarpick.js')

const POLL_MS = 50
const SUBMIT_TIMEOUT_MS = 20_000
const RPC_TIMEOUT_MS = 2000

async function ask<R> (address: Address, method: string, params: unknown): Promise<R> {
  const client = createRpcClient({ address })
  try {
    return await client.request<R>(method, params, { timeoutMs: RPC_TIMEOUT_MS })
  } finally {
    client.close()
  }
}

/** Starts the control daemons of a new cluster, with a fault-injecting proxy on each way between two of them. */
export async function startControls (opts: StartControlsOptions): Promise<ControlCluster> {
  const { folder } = opts
  const dataCentres = opts.dataCentres ?? ['centro']
  const keys = opts.keys ?? generateSignerKeys()
  const faults: FaultProxy[] = []
  const ports = await freePorts(opts.count)
  const names = ports.map((_, i) => `control-${i + 1}`)
  const controls = await Promise.all(names.map((_, i) => startOne(i)))

  async function startOne (i: number): Promise<DaemonProcess> {
    const name = names[i]
    const controlFaults = new Map<string, FaultProxy>()
    for (const [j, other] of names.entries()) {
      if (i === j) continue
      const fault = await createFaultProxy({ to: { host: HOST, port: ports[j] } })
      faults.push(fault)
      controlFaults.set(other, fault)
    }
    const nodes = names.map((other, j) => `"${other}" = "${HOST}:${controlFaults.get(other)?.address.port ?? ports[j]}"`)
    const dataFolder = path.join(folder, name)
    const settingsFile = path.join(folder, `${name}.toml`)
    fs.writeFileSync(settingsFile, [
      `name = "${name}"`, `data_centre = "${dataCentres[i % dataCentres.length]}"`, `data_folder = "${dataFolder}"`,
      `listen = "${HOST}:${ports[i]}"`, '[nodes]', ...nodes, '[signers]', `"${SIGNER}" = "${keys.publicKey}"`,
    ].join('\n'))
    initFolder(dataFolder, name, names)
    const address = { host: HOST, port: ports[i] }
    const args = [BIN, 'control', '--settings', settingsFile]
    const started = await startProcess({ name, args, logFile: path.join(folder, `${name}.log`), env: opts.env })
    return { name, address, callers: address, settingsFile, dataFolder, controlFaults, process: started }
  }

  async function status (): Promise<ControlStatus> {
    const running = controls.filter((control) => control.process.isRunning())
    const answers = await Promise.allSettled(running.map((control) => ask<ControlStatus>(control.address, 'control.status', {})))
    const leading = answers.flatMap((answer) => answer.status === 'fulfilled' && answer.value.ready ? [answer.value] : [])
    if (leading.length === 0) throw new Error('no control node leads')
    return leading[0]
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
      const end = performance.now() + SUBMIT_TIMEOUT_MS
      for (let turn = 0; ; turn++) {
        try {
          return await ask<SubmitBundleResult>(controls[turn % controls.length].address, 'bundle.submit', { bundle })
        } catch (err) {
          if (performance.now() > end) throw err
          if (turn % controls.length === controls.length - 1) await sleep(POLL_MS)
        }
      }
    },
    async close () {
      for (const control of controls) control.process.kill('SIGKILL')
      await Promise.all(controls.map((control) => control.process.exited))
      await Promise.all(faults.map((fault) => fault.close()))
    },
  }
}
