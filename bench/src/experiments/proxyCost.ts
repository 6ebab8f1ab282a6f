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
const CALLER_CONNECTIONS = 4500
const MAX_ADDED_P50_MS = 1
const MAX_ADDED_P99_MS = 3
const MAX_KIB_PER_CALLER = 30
const MIN_RELAY_THROUGHPUT_RATIO = 0.8
const SLOTS_PER_TARGET = 16
const QUERY = 'SELECT rent FROM contract WHERE id = $1 /*briarpick_max_age=\'60s\'*/'
const RATE_CONNECTIONS = 64
const SATURATION_CONNECTIONS = 32
const SATURATION_DRIVERS = 2
const WARM_UP_SECONDS = 2

/** Creates the table and returns the proxy that is the home of the database. */
async function createTableAndFindHome (system: System): Promise<DaemonProcess> {
  const caller = await connectCaller(system.proxies[0], DATABASE)
  await caller.query('CREATE TABLE contract (id int PRIMARY KEY, rent int)')
  for (let id = 0; id < 100; id++) await caller.query('INSERT INTO contract VALUES ($1, 900)', [id])
  await caller.end()
  const { home } = await system.view(DATABASE)
  return system.proxies.find(({ name }) => name === home?.proxy.split('#')[0]) as DaemonProcess
}

async function warmUp (addresses: readonly Address[]): Promise<void> {
  const opts = { addresses, database: DATABASE, connections: RATE_CONNECTIONS, ratePerSecond: 0, seconds: WARM_UP_SECONDS, text: QUERY }
  await startLoadDriver(opts).result
}

/** Latency, CPU and memory that a proxy adds, compared with direct connections and with a relay that uses the same libraries. */
export const proxyCost: Experiment = async ({ short, print }) => {
  const rounds = short ? 2 : 5
  const seconds = short ? 4 : 8
  const system = await startSystem({
    proxies: 2,
    bundle: `version = 1\n[services.rent-ledger]\nslots = ${SLOTS_PER_TARGET}\nconnections = 64\n`,
    standIn: { slots: SLOTS_PER_TARGET, maxConnections: 128, lagMs: 5 },
  })
  const home = await createTableAndFindHome(system)
  const entry = system.proxies.find((proxy) => proxy !== home) as DaemonProcess
  const targets = system.targets.map(({ options }) => options.listen)
  const relay = await startProcess({
    name: 'relay',
    args: [
      path.join(import.meta.dirname, '../parts/bareRelay.js'),
      JSON.stringify({ targets: targets.slice(1), database: DATABASE, connections: SLOTS_PER_TARGET }),
    ],
    logFile: path.join(system.folder, 'relay.log'),
  })
  const relayAddress: Address = { host: '127.0.0.1', port: JSON.parse(relay.firstLine).port }
  // 'proxy' connects to the home of the database, 'remote' to a proxy that forwards to the home over a link.
  const addressesByWay = { direct: targets.slice(1), relay: [relayAddress], proxy: [home.callers], remote: [entry.callers] }
  const rate: Record<string, LoadDriverResult[]> = { direct: [], relay: [], proxy: [], remote: [] }
  const cores: Array<{ readonly way: string, readonly home: number, readonly entry: number }> = []
  const saturation: Record<string, number[]> = { relay: [], proxy: [] }
  const usageAtStart = readProcessUsage(home.process.pid)
  await warmUp([home.callers])
  const manyCallers = startLoadDriver({
    addresses: [home.callers], database: DATABASE, connections: CALLER_CONNECTIONS, ratePerSecond: RATE_PER_SECOND, seconds, text: QUERY,
  })
  await manyCallers.connected
  await sleep(500)
  const usageWithCallers = readProcessUsage(home.process.pid)
  const manyResult = await manyCallers.result
  for (let i = 0; i < rounds; i++) {
    for (const [way, addresses] of Object.entries(addressesByWay)) {
      if (i === 0) await warmUp(addresses)
      const opts = { addresses, database: DATABASE, connections: RATE_CONNECTIONS, ratePerSecond: RATE_PER_SECOND, seconds, text: QUERY }
      const sample = () => ({ home: readProcessUsage(home.process.pid), entry: readProcessUsage(entry.process.pid), at: performance.now() })
      const usageBefore = sample()
      rate[way].push(await startLoadDriver(opts).result)
      const usageAfter = sample()
      cores.push({
        way,
        home: cpuUtilization(usageBefore.home, usageAfter.home, usageAfter.at - usageBefore.at),
        entry: cpuUtilization(usageBefore.entry, usageAfter.entry, usageAfter.at - usageBefore.at),
      })
    }
    for (const way of ['relay', 'proxy'] as const) {
      const { perSecond } = await runLoadDrivers(SATURATION_DRIVERS, {
        addresses: addressesByWay[way], database: DATABASE, connections: SATURATION_CONNECTIONS, ratePerSecond: 0, seconds, text: QUERY,
      })
      saturation[way].push(perSecond)
    }
  }
  relay.kill('SIGKILL')
  await system.close()

  const median = (values: readonly number[]) => quantile(values, 0.5)
  const addedMs = (way: string, key: 'p50' | 'p99') => round(median(rate[way].map((result, i) => result[key] - rate.direct[i][key])))
  const callerKiB = (usageWithCallers.rssKiB - usageAtStart.rssKiB) / CALLER_CONNECTIONS
  print(`rate ${RATE_PER_SECOND}/s: ${JSON.stringify(rate)}`)
  print(`cores: ${JSON.stringify(cores)}`)
  print(`saturation: ${JSON.stringify(saturation)}; 4,500 callers: ${JSON.stringify(manyResult)}`)
  return {
    name: 'proxyCost',
    aims: [
      atMost('added p50 at 2,800 statements/s', addedMs('proxy', 'p50'), MAX_ADDED_P50_MS, ' ms'),
      atMost('added p99 at 2,800 statements/s', addedMs('proxy', 'p99'), MAX_ADDED_P99_MS, ' ms'),
      atMost('added p50 over a link to another home', addedMs('remote', 'p50'), MAX_ADDED_P50_MS, ' ms'),
      atMost('added p99 over a link to another home', addedMs('remote', 'p99'), MAX_ADDED_P99_MS, ' ms'),
      atLeast('statements/s with 4,500 callers', manyResult.perSecond, RATE_PER_SECOND * 0.99),
      atMost('memory of a caller connection', callerKiB, MAX_KIB_PER_CALLER, ' KiB'),
      atLeast('saturation against the bare relay', median(saturation.proxy.map((value, i) => value / saturation.relay[i])), MIN_RELAY_THROUGHPUT_RATIO),
    ],
    data: { rate, saturation, manyResult, callerKiB, cores },
  }
}
