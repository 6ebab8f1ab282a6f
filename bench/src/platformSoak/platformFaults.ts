import fs from 'node:fs'
import path from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { createWireClient, newStatementId, type PlatformSystem, type RoleName, standInConfig, startWriter, type SystemVm } from '@briarpick/platform-stand-in'
import { type Random } from '@briarpick/load'

/** Context of the faults of one lane: a lane injects one fault after the other, beside those of the other lanes. */
export interface PlatformFaultContext {
  readonly system: PlatformSystem
  readonly services: readonly string[]
  readonly random: Random
  readonly trace: (line: string) => void
  /** Returns the version of the next configuration to submit. */
  readonly nextVersion: () => number
  /** Records that a version was acknowledged. */
  readonly onAcknowledged: (version: number) => void
}

/** Injects a fault from outside the processes, waits, and ends it. */
export type PlatformFault = (context: PlatformFaultContext) => Promise<void>

const MIN_FAULT_MS = 300
const MAX_FAULT_MS = 2500
/** Time for a control node with an empty disk to become a voter again, in ms. */
const REJOIN_MS = 4000
const BURST_CALLERS = 12
/** Name of the file of a control node's log. */
const LOG_FILE_NAME = 'log'
/** Number of callers that leave in the middle of a transaction. */
const LEAVING_CALLERS = 4

function pick<T> (items: readonly T[], random: Random): T {
  return items[Math.floor(random() * items.length)]
}

function durationMs (random: Random): number {
  return MIN_FAULT_MS + random() * (MAX_FAULT_MS - MIN_FAULT_MS)
}

function stopAndStart (role: RoleName, signal: NodeJS.Signals): PlatformFault {
  return async ({ system, random, trace }) => {
    const vm = pick(system.vms, random)
    const downMs = durationMs(random)
    trace(`${signal} to the ${role} of ${vm.name} for ${Math.round(downMs)} ms`)
    await system.stop(vm, role, signal)
    await sleep(downMs)
    system.start(vm, role)
    if (role === 'proxy') await system.ready(vm).catch(() => trace(`${vm.name} is not ready yet`))
  }
}

function pause (role: RoleName): PlatformFault {
  return async ({ system, random, trace }) => {
    const vm = pick(system.vms, random)
    const pausedMs = durationMs(random)
    trace(`pause the ${role} of ${vm.name} for ${Math.round(pausedMs)} ms`)
    system.signal(vm, role, 'SIGSTOP')
    await sleep(pausedMs)
    system.signal(vm, role, 'SIGCONT')
  }
}

/** Kills several processes of a role at the same moment. */
function killAll (role: RoleName): PlatformFault {
  return async ({ system, random, trace }) => {
    const downMs = durationMs(random)
    trace(`kill every ${role} for ${Math.round(downMs)} ms`)
    await Promise.all(system.vms.map((vm) => system.stop(vm, role, 'SIGKILL')))
    await sleep(downMs)
    for (const vm of system.vms) system.start(vm, role)
  }
}

async function wipeControlDisk ({ system, random, trace }: PlatformFaultContext): Promise<void> {
  const vm = pick(system.vms.filter(({ dataFolder }) => dataFolder !== undefined), random)
  trace(`delete the data of the control node of ${vm.name}`)
  await system.stop(vm, 'control', 'SIGKILL')
  fs.rmSync(vm.dataFolder ?? '', { recursive: true, force: true })
  system.start(vm, 'control')
  await sleep(REJOIN_MS)
}

/** Appends half a record to the log while its process is down, as a loss of power leaves what was not synced. */
async function tearLogFile ({ system, random, trace }: PlatformFaultContext): Promise<void> {
  const vm = pick(system.vms.filter(({ dataFolder }) => dataFolder !== undefined), random)
  await system.stop(vm, 'control', 'SIGKILL')
  const files = listFiles(vm.dataFolder ?? '').filter((file) => path.basename(file) === LOG_FILE_NAME)
  trace(`append half a record to ${files.length} log files of ${vm.name}`)
  for (const file of files) fs.appendFileSync(file, Buffer.from([0, 0, 1]))
  system.start(vm, 'control')
}

function listFiles (folder: string): readonly string[] {
  return fs.readdirSync(folder, { recursive: true, encoding: 'utf8' }).map((name) => `${folder}/${name}`).filter((file) => fs.statSync(file).isFile())
}

async function changeConfig ({ system, services, trace, nextVersion, onAcknowledged }: PlatformFaultContext): Promise<void> {
  const version = nextVersion()
  const status = await system.putConfig(standInConfig(version, services))
  trace(`configuration ${version}: status ${status}`)
  if (status === 200) onAcknowledged(version)
}

async function submitInvalidConfig ({ system, services, trace, nextVersion }: PlatformFaultContext): Promise<void> {
  const version = nextVersion()
  const invalid = standInConfig(version, services) as { readonly routes: Array<{ service: string }> }
  invalid.routes[0].service = 'unknown'
  const status = await system.putConfig(invalid)
  trace(`invalid configuration ${version}: status ${status}`)
  if (status < 400) throw new Error(`invalid configuration ${version} was answered with ${status}`)
}

async function crashPrimary ({ system, random, trace }: PlatformFaultContext): Promise<void> {
  const group = pick(system.groups, random)
  const primary = group.primary()
  const running = [...group.instances.values()].filter((instance) => instance.isRunning())
  if (primary === undefined || running.length < group.instances.size) return
  trace(`crash ${primary.id}, the primary`)
  await primary.stop()
}

async function lagReplicas ({ system, random, trace }: PlatformFaultContext): Promise<void> {
  const group = pick(system.groups, random)
  trace(`replicas of ${group.service} lag`)
  group.setReplicaApplyDelay(400)
  await sleep(durationMs(random))
  group.setReplicaApplyDelay(10)
}

async function burst ({ system, services, random, trace }: PlatformFaultContext): Promise<void> {
  const name = `burst-${newStatementId()}`
  trace(`burst of ${BURST_CALLERS} callers`)
  const callers = Array.from({ length: BURST_CALLERS }, (_, i) => startWriter(pick(system.vms, random), `${name}-${i}`, pick(services, random)))
  await sleep(durationMs(random))
  await Promise.all(callers.map((caller) => caller.stop()))
}

async function leaveTransactions ({ system, services, random, trace }: PlatformFaultContext): Promise<void> {
  trace(`${LEAVING_CALLERS} callers leave in the middle of a transaction`)
  await Promise.all(Array.from({ length: LEAVING_CALLERS }, () => leave(pick(system.vms, random), pick(services, random))))
}

async function leave (vm: SystemVm, service: string): Promise<void> {
  const client = await createWireClient(vm.callers, `primary-${service}`).catch(() => undefined)
  if (client === undefined) return
  await client.query('BEGIN').catch(() => undefined)
  await client.query(`WRITE left-${newStatementId()} x`).catch(() => undefined)
  client.close()
}

/** Faults by lane. Faults of control hit one node at a time, except for those that end all at once and keep the disks. */
export const PLATFORM_FAULT_LANES: Readonly<Record<string, readonly PlatformFault[]>> = {
  proxies: [stopAndStart('proxy', 'SIGTERM'), stopAndStart('proxy', 'SIGKILL'), pause('proxy'), pause('proxy'), killAll('proxy')],
  control: [stopAndStart('control', 'SIGTERM'), stopAndStart('control', 'SIGKILL'), pause('control'), wipeControlDisk, tearLogFile, killAll('control')],
  operators: [changeConfig, changeConfig, submitInvalidConfig, crashPrimary, lagReplicas],
  callers: [burst, leaveTransactions],
}
