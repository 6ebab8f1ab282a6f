import path from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { connectCaller, type DaemonProcess, startProcess, startSystem, type System } from '@briarpick/harness'
import { type Address } from '@briarpick/types'
import { atLeast, atMost, type Experiment, quantile, round } from '../parts/experiment.js'
import { type LoadDriverResult } from '../parts/driver.js'
import { cpuUtilization, readProcessUsage } from '../parts/processUsage.js'
import { runLoadDrivers, startLoadDriver } from '../parts/startLoadDriver.js'

const DATABASE = 'ledger'
const RATE_PER_SECOND = 2800
const CALLERS = 4500
const MAX_ADDED_P50_MS = 1
const MAX_ADDED_P99_MS = 3
const MAX_CALLER_KIB = 30
const MIN_RELAY_SHARE = 0.8
const SLOTS = 16
const TEXT = 'SELECT rent FROM contract WHERE id = $1 /*briarpick_max_age=\'60s\'*/'
const RATE_CONNECTIONS = 64
const SATURATION_CONNECTIONS = 32
const SATURATION_DRIVERS = 2
const WARM_UP_SECONDS = 2

async function prepare (system: System): Promise<DaemonProcess> {
  const caller = await connectCaller(system.proxies[0], DATABASE)
  await caller.query('CREATE TABLE contract (id int PRIMARY KEY, rent int)')
  for (let id = 0; id < 100; id++) await caller.query('INSERT INTO contract VALUES ($1, 900)', [id])
  await caller.end()
  const { home } = await system.view(DATABASE)
  return system.proxies.find(({ name }) => name === home?.proxy.split('#')[0]) as DaemonProcess
}

async function warmUp (addresses: readonly Address[]): Promise<void> {
  const opts = { addresses, database: DATABASE, connections: RATE_CONNECTIONS, ratePerSecond: 0, seconds: WARM_UP_SECONDS, text: TEXT }
  await startLoadDriver(opts).result
}

/** What one proxy adds to a direct connection and to a bare relay of the same libraries. */
export const proxyCost: Experiment = async ({ short, print }) => {
  const rounds = short ? 2 : 5
  const seconds = short ? 4 : 8
  const system = await startSystem({
    proxies: 2,
    bundle: `version = 1\n[services.rent-ledger]\nslots = ${SLOTS}\nconnections = 64\n`,
    standIn: { slots: SLOTS, maxConnections: 128, lagMs: 5 },
  })
  const home = await prepare(system)
  const entry = system.proxies.find((proxy) => proxy !== home) as DaemonProcess
  const targets = system.targets.map(({ options }) => options.listen)
  const relay = await startProcess({
    name: 'relay',
    args: [
      path.join(import.meta.dirname, '../parts/bareRelay.js'),
      JSON.stringify({ targets: targets.slice(1), database: DATABASE, connections: SLOTS }),
    ],
    logFile: path.join(system.folder, 'relay.log'),
  })
  const relayAddress: Address = { host: '127.0.0.1', port: JSON.parse(relay.firstLine).port }
  const ways = { direct: targets.slice(1), relay: [relayAddress], proxy: [home.callers], remote: [entry.callers] }
  const rate: Record<string, LoadDriverResult[]> = { direct: [], relay: [], proxy: [], remote: [] }
  const cores: Array<{ readonly way: string, readonly home: number, readonly entry: number }> = []
  const saturation: Record<string, number[]> = { relay: [], proxy: [] }
  const before = readProcessUsage(home.process.pid)
  await warmUp([home.callers])
  const many = startLoadDriver({
    addresses: [home.callers], database: DATABASE, connections: CALLERS, ratePerSecond: RATE_PER_SECOND, seconds, text: TEXT,
  })
  await many.connected
  await sleep(500)
  const idle = readProcessUsage(home.process.pid)
  const manyResult = await many.result
  for (let i = 0; i < rounds; i++) {
    for (const [way, addresses] of Object.entries(ways)) {
      if (i === 0) await warmUp(addresses)
      const opts = { addresses, database: DATABASE, connections: RATE_CONNECTIONS, ratePerSecond: RATE_PER_SECOND, seconds, text: TEXT }
      const look = () => ({ home: readProcessUsage(home.process.pid), entry: readProcessUsage(entry.process.pid), at: performance.now() })
      const from = look()
      rate[way].push(await startLoadDriver(opts).result)
      const to = look()
      cores.push({
        way,
        home: cpuUtilization(from.home, to.home, to.at - from.at),
        entry: cpuUtilization(from.entry, to.entry, to.at - from.at),
      })
    }
    for (const way of ['relay', 'proxy'] as const) {
      const { perSecond } = await runLoadDrivers(SATURATION_DRIVERS, {
        addresses: ways[way], database: DATABASE, connections: SATURATION_CONNECTIONS, ratePerSecond: 0, seconds, text: TEXT,
      })
      saturation[way].push(perSecond)
    }
  }
  relay.kill('SIGKILL')
  await system.close()

  const median = (values: readonly number[]) => quantile(values, 0.5)
  const added = (way: string, key: 'p50' | 'p99') => round(median(rate[way].map((result, i) => result[key] - rate.direct[i][key])))
  const callerKiB = (idle.rssKiB - before.rssKiB) / CALLERS
  print(`rate ${RATE_PER_SECOND}/s: ${JSON.stringify(rate)}`)
  print(`cores: ${JSON.stringify(cores)}`)
  print(`saturation: ${JSON.stringify(saturation)}; 4,500 callers: ${JSON.stringify(manyResult)}`)
  return {
    name: 'proxyCost',
    aims: [
      atMost('added p50 at 2,800 statements/s', added('proxy', 'p50'), MAX_ADDED_P50_MS, ' ms'),
      atMost('added p99 at 2,800 statements/s', added('proxy', 'p99'), MAX_ADDED_P99_MS, ' ms'),
      atMost('added p50 over a link to another home', added('remote', 'p50'), MAX_ADDED_P50_MS, ' ms'),
      atMost('added p99 over a link to another home', added('remote', 'p99'), MAX_ADDED_P99_MS, ' ms'),
      atLeast('statements/s with 4,500 callers', manyResult.perSecond, RATE_PER_SECOND * 0.99),
      atMost('memory of a caller connection', callerKiB, MAX_CALLER_KIB, ' KiB'),
      atLeast('saturation against the bare relay', median(saturation.proxy.map((value, i) => value / saturation.relay[i])), MIN_RELAY_SHARE),
    ],
    data: { rate, saturation, manyResult, callerKiB, cores },
  }
}
