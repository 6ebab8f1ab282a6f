import fs from 'node:fs'
import { setTimeout as sleep } from 'node:timers/promises'
import { type System, type TargetProcess } from '@briarpick/harness'
import { type Random } from '@briarpick/load'

/** Context passed to each fault. */
export interface FaultContext {
  readonly system: System
  readonly random: Random
  /** Appends a line to the trace. */
  readonly trace: (line: string) => void
  /** Allocates the version of the next bundle to submit. */
  readonly nextBundleVersion: () => number
}

/** Injects a fault, waits, and reverts it. */
export type Fault = (context: FaultContext) => Promise<void>

const MIN_FAULT_DURATION_MS = 1500
const MAX_FAULT_DURATION_MS = 5000
const REPLICATION_LAGS_MS = [5, 50, 200, 500]

function pickRandom<T> (items: readonly T[], random: Random): T {
  return items[Math.floor(random() * items.length)]
}

function randomDurationMs (random: Random): number {
  return MIN_FAULT_DURATION_MS + random() * (MAX_FAULT_DURATION_MS - MIN_FAULT_DURATION_MS)
}

/**
 * Picks a target that can fail without losing acknowledged writes: its database is open, its in-sync set is not empty and
 * has replicas only, and all its targets run, so that it has recovered from the last fault. Undefined if there is none.
 */
async function pickRedundantTarget ({ system, random }: FaultContext): Promise<TargetProcess | undefined> {
  const { views } = await system.status()
  const redundantViews = views.filter((view) => view.state === 'open' && view.inSync.length > 0 && !view.inSync.includes(view.primary ?? ''))
  if (redundantViews.length === 0) return undefined
  const view = pickRandom(redundantViews, random)
  const members = view.members.map(({ instance }) => system.target(instance))
  return members.every((member) => member.process.isRunning()) ? pickRandom(members, random) : undefined
}

async function killTarget (context: FaultContext): Promise<void> {
  const target = await pickRedundantTarget(context)
  if (target === undefined) return
  context.trace(`kill target ${target.instance}`)
  target.process.kill('SIGKILL')
  await sleep(randomDurationMs(context.random))
  await context.system.restartTarget(target.instance)
  context.trace(`restarted target ${target.instance}`)
  await context.system.waitForStatus('the database is open and has an in-sync replica', ({ views }) => {
    const view = views.find(({ database }) => database === target.database)
    return view?.state === 'open' && view.inSync.length > 0
  }).catch(() => {})
}

async function freezeTarget (context: FaultContext): Promise<void> {
  const target = pickRandom(context.system.targets, context.random)
  context.trace(`freeze target ${target.instance}`)
  target.process.kill('SIGSTOP')
  await sleep(randomDurationMs(context.random))
  target.process.kill('SIGCONT')
  context.trace(`resumed target ${target.instance}`)
}

async function cutTarget (context: FaultContext): Promise<void> {
  const target = pickRandom(context.system.targets, context.random)
  context.trace(`cut target ${target.instance}`)
  target.faultProxy.set({ cut: true })
  await sleep(randomDurationMs(context.random))
  target.faultProxy.set({ cut: false })
  context.trace(`healed target ${target.instance}`)
}

async function killProxy (context: FaultContext): Promise<void> {
  const proxy = pickRandom(context.system.proxies, context.random)
  context.trace(`kill ${proxy.name}`)
  await context.system.restartDaemon(proxy)
}

async function freezeProxy (context: FaultContext): Promise<void> {
  const proxy = pickRandom(context.system.proxies, context.random)
  context.trace(`freeze ${proxy.name}`)
  proxy.process.kill('SIGSTOP')
  await sleep(randomDurationMs(context.random))
  proxy.process.kill('SIGCONT')
  context.trace(`resumed ${proxy.name}`)
}

async function cutProxyFromControl (context: FaultContext): Promise<void> {
  const proxy = pickRandom(context.system.proxies, context.random)
  context.trace(`cut ${proxy.name} from control`)
  for (const faultProxy of proxy.controlFaultProxies.values()) faultProxy.set({ cut: true })
  await sleep(randomDurationMs(context.random))
  for (const faultProxy of proxy.controlFaultProxies.values()) faultProxy.set({ cut: false })
  context.trace(`healed ${proxy.name}`)
}

async function killControl (context: FaultContext): Promise<void> {
  const control = pickRandom(context.system.controls, context.random)
  context.trace(`kill ${control.name}`)
  await context.system.restartDaemon(control)
}

async function freezeControl (context: FaultContext): Promise<void> {
  const control = pickRandom(context.system.controls, context.random)
  context.trace(`freeze ${control.name}`)
  control.process.kill('SIGSTOP')
  await sleep(randomDurationMs(context.random))
  control.process.kill('SIGCONT')
  context.trace(`resumed ${control.name}`)
}

async function isolateControl (context: FaultContext): Promise<void> {
  const control = pickRandom(context.system.controls, context.random)
  const otherControls = context.system.controls.filter((other) => other !== control)
  const faultProxies = [
    ...control.controlFaultProxies.values(),
    ...otherControls.flatMap((other) => other.controlFaultProxies.get(control.name) ?? []),
  ]
  context.trace(`isolate ${control.name}`)
  for (const faultProxy of faultProxies) faultProxy.set({ cut: true })
  await sleep(randomDurationMs(context.random))
  for (const faultProxy of faultProxies) faultProxy.set({ cut: false })
  context.trace(`healed ${control.name}`)
}

/** Deletes the data folder of a control node and waits until the node is a voter again, under a new incarnation. */
async function loseControlDisk (context: FaultContext): Promise<void> {
  const { system } = context
  const control = pickRandom(system.controls, context.random)
  context.trace(`delete the data folder of ${control.name}`)
  control.process.kill('SIGKILL')
  await control.process.exited
  fs.rmSync(control.dataFolder, { recursive: true, force: true })
  await system.restartDaemon(control)
  await system.waitForStatus('there are three voters and the node is one of them', ({ agreement }) =>
    agreement.voters.voters.length === 3 && agreement.voters.voters.some((id) => id.startsWith(`${control.name}:`) && !id.endsWith(':first')))
  context.trace(`${control.name} is a voter again`)
}

async function changeLag (context: FaultContext): Promise<void> {
  const target = pickRandom(context.system.targets, context.random)
  const lagMs = pickRandom(REPLICATION_LAGS_MS, context.random)
  context.trace(`set replication lag of ${target.instance} to ${lagMs} ms`)
  await context.system.queryTarget(target.instance, `SELECT stand_in_set('lagMs', ${lagMs})`).catch(() => {})
}

/** Submits two different bundles with the same version concurrently; fails if both are accepted. */
async function raceBundles (context: FaultContext): Promise<void> {
  const version = context.nextBundleVersion()
  context.trace(`submit two bundles with version ${version}`)
  const bundles = [`version = ${version}\n# one\n`, `version = ${version}\n# two\n`]
  const verdicts = await Promise.allSettled(bundles.map((text) => context.system.submitBundle(text)))
  const accepted = verdicts.filter((verdict) => verdict.status === 'fulfilled' && verdict.value.kind === 'accepted')
  if (accepted.length > 1) throw new Error(`two different bundles with version ${version} were accepted`)
}

/**
 * Faults of the soak test, injected one at a time; duplicates raise a fault's probability. Faults of control nodes affect at
 * most one node at a time: losing two of the three would cost the quorum.
 */
export const SOAK_FAULTS: readonly Fault[] = [
  killTarget, killTarget, freezeTarget, cutTarget, killProxy, killProxy, freezeProxy, cutProxyFromControl,
  killControl, freezeControl, isolateControl, loseControlDisk, changeLag, changeLag, raceBundles,
]
