import fs from 'node:fs'
import { setTimeout as sleep } from 'node:timers/promises'
import { type System, type TargetProcess } from '@briarpick/harness'
import { type Random } from '@briarpick/load'

/** What a fault needs. */
export interface FaultContext {
  readonly system: System
  readonly random: Random
  /** Writes a line of the trace. */
  readonly trace: (line: string) => void
  /** Version of the newest bundle that was submitted. */
  readonly nextBundleVersion: () => number
}

/** Injects a fault, waits, and mends it. */
export type Fault = (context: FaultContext) => Promise<void>

const MIN_FAULT_MS = 1500
const MAX_FAULT_MS = 5000
const LAGS_MS = [5, 50, 200, 500]

function pick<T> (items: readonly T[], random: Random): T {
  return items[Math.floor(random() * items.length)]
}

function faultTime (random: Random): number {
  return MIN_FAULT_MS + random() * (MAX_FAULT_MS - MIN_FAULT_MS)
}

/** A target whose loss leaves somebody who holds every acknowledged write: its database is open, and mended after the last fault. */
async function losableTarget ({ system, random }: FaultContext): Promise<TargetProcess | undefined> {
  const { views } = await system.status()
  const whole = views.filter((view) => view.state === 'open' && view.inSync.length > 0 && !view.inSync.includes(view.primary ?? ''))
  if (whole.length === 0) return undefined
  const view = pick(whole, random)
  const members = view.members.map(({ instance }) => system.target(instance))
  return members.every((member) => member.process.isRunning()) ? pick(members, random) : undefined
}

async function killTarget (context: FaultContext): Promise<void> {
  const target = await losableTarget(context)
  if (target === undefined) return
  context.trace(`kill target ${target.instance}`)
  target.process.kill('SIGKILL')
  await sleep(faultTime(context.random))
  await context.system.restartTarget(target.instance)
  context.trace(`restarted target ${target.instance}`)
  await context.system.waitForStatus('the database is whole', ({ views }) => {
    const view = views.find(({ database }) => database === target.database)
    return view?.state === 'open' && view.inSync.length > 0
  }).catch(() => {})
}

async function freezeTarget (context: FaultContext): Promise<void> {
  const target = pick(context.system.targets, context.random)
  context.trace(`freeze target ${target.instance}`)
  target.process.kill('SIGSTOP')
  await sleep(faultTime(context.random))
  target.process.kill('SIGCONT')
  context.trace(`resumed target ${target.instance}`)
}

async function cutTarget (context: FaultContext): Promise<void> {
  const target = pick(context.system.targets, context.random)
  context.trace(`cut target ${target.instance}`)
  target.faultProxy.set({ cut: true })
  await sleep(faultTime(context.random))
  target.faultProxy.set({ cut: false })
  context.trace(`healed target ${target.instance}`)
}

async function killProxy (context: FaultContext): Promise<void> {
  const proxy = pick(context.system.proxies, context.random)
  context.trace(`kill ${proxy.name}`)
  await context.system.restartDaemon(proxy)
}

async function freezeProxy (context: FaultContext): Promise<void> {
  const proxy = pick(context.system.proxies, context.random)
  context.trace(`freeze ${proxy.name}`)
  proxy.process.kill('SIGSTOP')
  await sleep(faultTime(context.random))
  proxy.process.kill('SIGCONT')
  context.trace(`resumed ${proxy.name}`)
}

async function cutProxyFromControl (context: FaultContext): Promise<void> {
  const proxy = pick(context.system.proxies, context.random)
  context.trace(`cut ${proxy.name} from control`)
  for (const fault of proxy.controlFaultProxies.values()) fault.set({ cut: true })
  await sleep(faultTime(context.random))
  for (const fault of proxy.controlFaultProxies.values()) fault.set({ cut: false })
  context.trace(`healed ${proxy.name}`)
}

async function killControl (context: FaultContext): Promise<void> {
  const control = pick(context.system.controls, context.random)
  context.trace(`kill ${control.name}`)
  await context.system.restartDaemon(control)
}

async function freezeControl (context: FaultContext): Promise<void> {
  const control = pick(context.system.controls, context.random)
  context.trace(`freeze ${control.name}`)
  control.process.kill('SIGSTOP')
  await sleep(faultTime(context.random))
  control.process.kill('SIGCONT')
  context.trace(`resumed ${control.name}`)
}

async function isolateControl (context: FaultContext): Promise<void> {
  const control = pick(context.system.controls, context.random)
  const others = context.system.controls.filter((other) => other !== control)
  const faults = [...control.controlFaultProxies.values(), ...others.flatMap((other) => other.controlFaultProxies.get(control.name) ?? [])]
  context.trace(`isolate ${control.name}`)
  for (const fault of faults) fault.set({ cut: true })
  await sleep(faultTime(context.random))
  for (const fault of faults) fault.set({ cut: false })
  context.trace(`healed ${control.name}`)
}

/** Loses the folder of a control node, and waits until the node has its vote back. */
async function loseControlDisk (context: FaultContext): Promise<void> {
  const { system } = context
  const control = pick(system.controls, context.random)
  context.trace(`lose the disk of ${control.name}`)
  control.process.kill('SIGKILL')
  await control.process.exited
  fs.rmSync(control.dataFolder, { recursive: true, force: true })
  await system.restartDaemon(control)
  await system.waitForStatus('three voters again', ({ agreement }) =>
    agreement.voters.voters.length === 3 && agreement.voters.voters.some((id) => id.startsWith(`${control.name}:`) && !id.endsWith(':first')))
  context.trace(`${control.name} votes again`)
}

async function changeLag (context: FaultContext): Promise<void> {
  const target = pick(context.system.targets, context.random)
  const lagMs = pick(LAGS_MS, context.random)
  context.trace(`lag of ${target.instance} is ${lagMs} ms`)
  await context.system.queryTarget(target.instance, `SELECT stand_in_set('lagMs', ${lagMs})`).catch(() => {})
}

/** Two operators submit different bundles under the same version. */
async function raceBundles (context: FaultContext): Promise<void> {
  const version = context.nextBundleVersion()
  context.trace(`race for bundle ${version}`)
  const texts = [`version = ${version}\n# one\n`, `version = ${version}\n# two\n`]
  const verdicts = await Promise.allSettled(texts.map((text) => context.system.submitBundle(text)))
  const accepted = verdicts.filter((verdict) => verdict.status === 'fulfilled' && verdict.value.kind === 'accepted')
  if (accepted.length > 1) throw new Error(`two different bundles were accepted under version ${version}`)
}

/** Faults that may come one at a time. Those of control never take a second node while one is away. */
export const SOAK_FAULTS: readonly Fault[] = [
  killTarget, killTarget, freezeTarget, cutTarget, killProxy, killProxy, freezeProxy, cutProxyFromControl,
  killControl, freezeControl, isolateControl, loseControlDisk, changeLag, changeLag, raceBundles,
]
