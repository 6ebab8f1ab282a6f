import { setTimeout as sleep } from 'node:timers/promises'
import { checkWrites, DEFAULT_MIX, readRowCounts, runLoad, summarizeLoad } from '@briarpick/load'
import { startSystem } from '@briarpick/harness'
import { failoverGap } from './failoverGap.js'
import { readCounters, replicaShare } from './readReplicaShare.js'

const DATABASES = ['ledger-1', 'ledger-2', 'ledger-3']
const SECONDS = 12
const LOSS_AFTER_MS = 6000
const RATE_PER_SECOND = 300
const LAG_MS = 100
const SEED = 7

const print = (text: string) => process.stdout.write(text + '\n')

print('starting 3 control daemons, 9 proxies and 3 databases of 3 stand-in targets …')
const system = await startSystem({ proxies: 9, databases: DATABASES, standIn: { lagMs: LAG_MS }, bundle: 'version = 1\n[services.rent-ledger]\nslots = 2\n' })
print(`control: ${system.controlAddresses.map(({ host, port }) => `${host}:${port}`).join(',')}`)
print(`callers: ${system.proxies.map(({ callers }) => `${callers.host}:${callers.port}`).join(',')}`)
print(`load: ${RATE_PER_SECOND} operations/s for ${SECONDS} s through 9 proxies, replication lag ${LAG_MS} ms`)

const proxies = system.proxies.map(({ callers }) => callers)
const load = runLoad({
  proxies,
  databases: DATABASES,
  ratePerSecond: RATE_PER_SECOND,
  seconds: SECONDS,
  seed: SEED,
  mix: DEFAULT_MIX,
  sessions: 20,
  maxAgeMs: 1000,
  connectionsPerProxy: 4,
})
await sleep(LOSS_AFTER_MS)
const before = await system.view(DATABASES[0])
const lostAt = performance.now()
system.target(before.primary ?? '').process.kill('SIGKILL')
print(`killed ${before.primary}, the primary of ${DATABASES[0]} in term ${before.term}`)

const { operations, broken } = await load
const after = await system.view(DATABASES[0])
const found = await Promise.all(DATABASES.map((database) => readRowCounts(proxies, database)))
const allBroken = [...broken, ...checkWrites(operations, found)]
const counters = await readCounters(system.proxies.map(({ address }) => address))
await system.close()

print(`promoted ${after.primary} in term ${after.term}`)
print('')
print('what callers saw:')
for (const [kind, summary] of Object.entries(summarizeLoad(operations).kinds)) {
  print(`  ${kind.padEnd(10)} done ${summary.done}  refused ${summary.refused}  unknown ${summary.unknown}  error ${summary.error}  p50 ${summary.p50.toFixed(1)} ms  p99 ${summary.p99.toFixed(1)} ms`)
}
print(`  codes: ${JSON.stringify(summarizeLoad(operations).codes)}`)
print(`replica share of reads: ${replicaShare(counters).toFixed(3)}`)
print(`failover gap of ${DATABASES[0]}: ${Math.round(failoverGap(operations, DATABASES[0], lostAt))} ms`)
print(`promises broken: ${allBroken.length}`)
for (const line of allBroken.slice(0, 10)) print(`  ${line}`)
process.exitCode = allBroken.length === 0 ? 0 : 1
