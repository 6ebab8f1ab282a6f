import { setTimeout as sleep } from 'node:timers/promises'
import { build } from 'hdr-histogram-js'
import {
  findWriteViolations,
  queryUntilSuccess,
  startReadYourWritesClient,
  standInConfig,
  startPlatformSystem,
  startWriter,
  type WriteRecord,
} from '@briarpick/platform-stand-in'

/** Second byte of the demo's loopback addresses; tests use others. */
const NET = 99
const SERVICE = 'ledger'
const PRIMARY_LOST_AFTER_MS = 4000
const HOME_LOST_AFTER_MS = 4000
const LAST_PART_MS = 4000

const print = (text: string) => process.stdout.write(text + '\n')

print('starting control and proxy on 3 VMs of their own loopback addresses, and a stand-in of the platform with 3 instances …')
const system = await startPlatformSystem({ subnet: NET, services: [SERVICE] })
const [group] = system.groups
print(`configuration 1: status ${await system.putConfig(standInConfig(1, [SERVICE]))}`)
for (const vm of system.vms) await system.ready(vm)
await queryUntilSuccess(system.vms, `read_your_writes-${SERVICE}`, 'READ a')
print(`callers: ${system.vms.map(({ callers }) => `${callers.host}:${callers.port}`).join(',')}`)

const writers = system.vms.map((vm, i) => startWriter(vm, `w${i}`, SERVICE))
const readers = system.vms.map((vm, i) => startReadYourWritesClient(vm, `r${i}`, SERVICE))
await sleep(PRIMARY_LOST_AFTER_MS)
const lost = group.primary()
await lost?.stop()
print(`stopped ${lost?.id ?? 'nothing'}, the primary`)
await sleep(HOME_LOST_AFTER_MS)
print(`promoted: ${system.platform.promotions.map(({ id, token }) => `${id} with token ${token}`).join(', ')}`)
const home = system.vms.find((vm) => system.log(vm, 'proxy').includes('"event":"enter"'))
if (home !== undefined) {
  await system.stop(home, 'proxy', 'SIGKILL')
  system.start(home, 'proxy')
  print(`killed the proxy of ${home.name}, the home of the database, and started it again`)
}
await sleep(LAST_PART_MS)

const written = (await Promise.all(writers.map(async (writer) => await writer.stop()))).flat()
const reads = (await Promise.all(readers.map(async (reader) => await reader.stop()))).flat()
const broken = [...findWriteViolations(group, written), ...reads.filter((isOwn) => !isOwn).map(() => 'a session missed its own write')]
await system.close()

print('')
print('what callers saw:')
print(`  writes  ${describe(written)}`)
print(`  reads of own writes  ${reads.length}, all of them with the write: ${reads.every(Boolean)}`)
print(`  longest time between two acknowledged writes: ${Math.round(longestGap(written))} ms`)
print(`promises broken: ${broken.length}`)
for (const line of broken.slice(0, 10)) print(`  ${line}`)
process.exitCode = broken.length === 0 ? 0 : 1

function describe (all: readonly WriteRecord[]): string {
  const times = build()
  const count = (outcome: WriteRecord['outcome']) => all.filter((each) => each.outcome === outcome).length
  for (const { outcome, latencyMs: tookMs } of all) if (outcome === 'done') times.recordValue(Math.round(tookMs * 1000))
  const ms = (percentile: number) => (times.getValueAtPercentile(percentile) / 1000).toFixed(1)
  return `done ${count('done')}  refused ${count('refused')}  unknown ${count('unknown')}  p50 ${ms(50)} ms  p99 ${ms(99)} ms`
}

function longestGap (all: readonly WriteRecord[]): number {
  const times = all.filter(({ outcome }) => outcome === 'done').map(({ answeredAtMs: at }) => at).sort((a, b) => a - b)
  return Math.max(0, ...times.slice(1).map((at, i) => at - times[i]))
}
