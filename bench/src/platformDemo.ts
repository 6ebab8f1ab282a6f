import { setTimeout as sleep } from 'node:timers/promises'
import { build } from 'hdr-histogram-js'
import {
  findWriteViolations,
  queryUntilSuccess,
  standInConfig,
  startPlatformSystem,
  startReadYourWritesClient,
  startWriter,
  type WriteRecord,
} from '@briarpick/platform-stand-in'

/** Second octet of the demo's loopback addresses; differs from those of the tests, so that both can run at once. */
const LOOPBACK_SECOND_OCTET = 99
const SERVICE = 'ledger'
const PRIMARY_STOP_DELAY_MS = 4000
const HOME_KILL_DELAY_MS = 4000
const FINAL_LOAD_MS = 4000

const print = (text: string) => process.stdout.write(text + '\n')

print('starting control and proxy on 3 VMs with a loopback address each, and a simulated platform with 3 instances …')
const system = await startPlatformSystem({ subnet: LOOPBACK_SECOND_OCTET, services: [SERVICE] })
const [group] = system.groups
print(`configuration 1: status ${await system.putConfig(standInConfig(1, [SERVICE]))}`)
for (const vm of system.vms) await system.ready(vm)
await queryUntilSuccess(system.vms, `read_your_writes-${SERVICE}`, 'READ a')
print(`callers: ${system.vms.map(({ callers }) => `${callers.host}:${callers.port}`).join(',')}`)

const writers = system.vms.map((vm, i) => startWriter(vm, `w${i}`, SERVICE))
const readers = system.vms.map((vm, i) => startReadYourWritesClient(vm, `r${i}`, SERVICE))
await sleep(PRIMARY_STOP_DELAY_MS)
const stoppedPrimary = group.primary()
await stoppedPrimary?.stop()
print(`stopped ${stoppedPrimary?.id ?? 'nothing'}, the primary`)
await sleep(HOME_KILL_DELAY_MS)
print(`promoted: ${system.platform.promotions.map(({ id, token }) => `${id} with token ${token}`).join(', ')}`)
const homeVm = system.vms.find((vm) => system.log(vm, 'proxy').includes('"event":"homeStarted"'))
if (homeVm !== undefined) {
  await system.stop(homeVm, 'proxy', 'SIGKILL')
  system.start(homeVm, 'proxy')
  print(`killed the proxy of ${homeVm.name}, the home of the database, and started it again`)
}
await sleep(FINAL_LOAD_MS)

const writes = (await Promise.all(writers.map(async (writer) => await writer.stop()))).flat()
const reads = (await Promise.all(readers.map(async (reader) => await reader.stop()))).flat()
const violations = [...findWriteViolations(group, writes), ...reads.filter((isOwn) => !isOwn).map(() => 'a session did not read its own write')]
await system.close()

print('')
print('results as seen by callers:')
print(`  writes  ${formatWrites(writes)}`)
print(`  reads of own writes  ${reads.length}, all returned the write: ${reads.every(Boolean)}`)
print(`  longest gap between acknowledged writes: ${Math.round(longestGapMs(writes))} ms`)
print(`guarantee violations: ${violations.length}`)
for (const line of violations.slice(0, 10)) print(`  ${line}`)
process.exitCode = violations.length === 0 ? 0 : 1

function formatWrites (writes: readonly WriteRecord[]): string {
  const latencies = build()
  const count = (outcome: WriteRecord['outcome']) => writes.filter((write) => write.outcome === outcome).length
  for (const { outcome, latencyMs } of writes) if (outcome === 'done') latencies.recordValue(Math.round(latencyMs * 1000))
  const ms = (percentile: number) => (latencies.getValueAtPercentile(percentile) / 1000).toFixed(1)
  return `done ${count('done')}  refused ${count('refused')}  unknown ${count('unknown')}  p50 ${ms(50)} ms  p99 ${ms(99)} ms`
}

function longestGapMs (writes: readonly WriteRecord[]): number {
  const acknowledgedAt = writes.filter(({ outcome }) => outcome === 'done').map(({ answeredAtMs }) => answeredAtMs).sort((a, b) => a - b)
  return Math.max(0, ...acknowledgedAt.slice(1).map((at, i) => at - acknowledgedAt[i]))
}
