import { setTimeout as sleep } from 'node:timers/promises'
import { checkWrites, DEFAULT_MIX, readRowCounts, runLoad, summarizeLoad } from '@briarpick/load'
import { startSystem } from '@briarpick/harness'
import { failoverGap } from './failoverGap.js'
import { readCounters, replicaShare } from './replicaShare.js'

const DATABASES = ['ledger-1', 'ledger-2', 'ledger-3']
const LOAD_SECONDS = 12
const PRIMARY_KILL_DELAY_MS = 6000
const RATE_PER_SECOND = 300
const REPLICATION_LAG_MS = 100
const SEED = 7

const print = (text: string) => process.stdout.write(text + '\n')

print('starting 3 control daemons, 9 proxies and 3 databases with 3 stand-in targets each …')
const system = await startSystem({ proxies: 9, databases: DATABASES, standIn: { lagMs: REPLICATION_LAG_MS }, bundle: 'version = 1\n[services.rent-ledger]\nslots = 2\n' })
print(`control: ${system.controlAddresses.map(({ host, port }) => `${host}:${port}`).join(',')}`)
print(`callers: ${system.proxies.map(({ callers }) => `${callers.host}:${callers.port}`).join(',')}`)
print(`load: ${RATE_PER_SECOND} operations/s for ${LOAD_SECONDS} s through 9 proxies, replication lag ${REPLICATION_LAG_MS} ms`)

const proxies = system.proxies.map(({ callers }) => callers)
const load = runLoad({
  proxies,
  databases: DATABASES,
  ratePerSecond: RATE_PER_SECOND,
  seconds: LOAD_SECONDS,
  seed: SEED,
  mix: DEFAULT_MIX,
  sessions: 20,
  maxAgeMs: 1000,
  connectionsPerProxy: 4,
})
await sleep(PRIMARY_KILL_DELAY_MS)
const viewBefore = await system.view(DATABASES[0])
const killedAt = performance.now()
system.target(viewBefore.primary ?? '').process.kill('SIGKILL')
print(`killed ${viewBefore.primary}, the primary of ${DATABASES[0]} in term ${viewBefore.term}`)

const { operations, broken } = await load
const viewAfter = await system.view(DATABASES[0])
const rows = await Promise.all(DATABASES.map((database) => readRowCounts(proxies, database)))
const violations = [...broken, ...checkWrites(operations, rows)]
const counters = await readCounters(system.proxies.map(({ address }) => address))
await system.close()

print(`promoted ${viewAfter.primary} in term ${viewAfter.term}`)
print('')
print('results as seen by callers:')
for (const [kind, summary] of Object.entries(summarizeLoad(operations).kinds)) {
  print(`  ${kind.padEnd(10)} done ${summary.done}  refused ${summary.refused}  unknown ${summary.unknown}  error ${summary.error}  p50 ${summary.p50.toFixed(1)} ms  p99 ${summary.p99.toFixed(1)} ms`)
}
print(`  codes: ${JSON.stringify(summarizeLoad(operations).codes)}`)
print(`replica share of reads: ${replicaShare(counters).toFixed(3)}`)
print(`failover gap of ${DATABASES[0]}: ${Math.round(failoverGap(operations, DATABASES[0], killedAt))} ms`)
print(`guarantee violations: ${violations.length}`)
for (const line of violations.slice(0, 10)) print(`  ${line}`)
process.exitCode = violations.length === 0 ? 0 : 1
