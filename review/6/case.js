// Six machines in three zones; in each zone two serve control, and the first of them has a disk. The seeds are exchanged for the other
// machines that serve control. Then two machines of the core are replaced by empty ones at other addresses, one long after the other.
import { setTimeout as sleep } from 'node:timers/promises'
import { configuration, order } from '../standIn2/operator.js'
import { createRecord, hasTrouble, runCase } from '../standIn2/record.js'
import { startPlatform } from '../standIn2/instances.js'
import { createSystem, PORTS, statusOf } from '../standIn2/system.js'
import { startTraffic } from '../standIn2/traffic.js'

const MACHINES = 6
/** The first three machines, and those that come in place of two of them. */
const DISKS = [0, 1, 2, 6, 7]
const REPLACED = [[0, 6], [1, 7]]
const SERVICES = ['ledger', 'index']
const READY_MS = 15_000
const CALM_MS = 5000
/** Time between the exchange of the seeds and what follows: longer than `seed_lag_s`. */
const AFTER_TURNOVER_MS = 5000
/** Time until the new machine comes, `x` of the site's `replace_core`. */
const GAP_MS = 2000
/** Time from then to the next loss: three times `catch_up_s`, after which the lost machine no longer counts. */
const CATCH_UP_MS = 12_000
/** Time for which the operator reads back the configuration at the end, and at least `stable_window_ms`. */
const READ_BACK_MS = 6000

const record = createRecord(import.meta.dirname, 'record.txt')

/** Reads back the configuration at all daemons until one answers with 200; returns the version, undefined if none does. */
async function readBack (hosts) {
  for (const deadline = performance.now() + READ_BACK_MS; performance.now() < deadline; await sleep(200)) {
    for (const host of hosts) {
      const response = await fetch(`http://${host}:${PORTS.admin}/-/config`, { signal: AbortSignal.timeout(1000) }).catch(() => undefined)
      if (response?.status === 200) return (await response.json()).version
      await response?.arrayBuffer()
    }
  }
  return undefined
}

async function recordState (system, indexes) {
  for (const i of indexes) {
    const ready = await statusOf(`http://${system.hosts[i]}:${PORTS.readiness}/-/readyz`)
    const config = await statusOf(`http://${system.hosts[i]}:${PORTS.admin}/-/config`)
    record(`machine ${i + 1}${DISKS.includes(i) ? ' (disk)' : ''}: readiness ${ready}, GET /-/config ${config === 0 ? 'no response' : config}`)
  }
}

await runCase(record, async () => {
  const system = await createSystem({ machines: MACHINES + REPLACED.length, disks: DISKS, record })
  const platform = await startPlatform({ system, services: SERVICES, record })
  let running = Array.from({ length: MACHINES }, (_, i) => i)
  const startMachine = (i, bootstrap) => { for (const role of ['control', 'proxy']) system.start(i, role, bootstrap) }
  try {
    for (const i of running) startMachine(i, true)
    const hosts = system.hosts.slice(0, MACHINES)
    const status = await order(hosts, JSON.stringify(configuration(7, SERVICES)), { record, what: 'version 7', forMs: READY_MS })
    if (status !== 200) throw new Error(`the first configuration got ${status}`)
    for (const i of running) if (!await system.ready(i, READY_MS)) throw new Error(`machine ${i + 1} did not become ready`)
    const traffic = startTraffic({ hosts: system.hosts, services: SERVICES })
    await sleep(2000)
    if (hasTrouble) {
      const seeds = system.hosts.slice(3, MACHINES)
      record(`the settings name other seeds, which serve control: ${seeds.join(' ')}`)
      system.setSeeds(seeds)
    }
    await sleep(AFTER_TURNOVER_MS)
    for (const [gone, next] of REPLACED) {
      const from = performance.now()
      await sleep(CALM_MS)
      record(`before the loss: ${JSON.stringify(traffic.served(from, performance.now()))}`)
      system.remove(gone)
      running = running.filter((i) => i !== gone)
      await sleep(GAP_MS)
      record(`machine ${next + 1} starts in its place, empty and at another address`)
      startMachine(next, false)
      running.push(next)
      await sleep(CATCH_UP_MS)
      await recordState(system, running)
    }
    const from = performance.now()
    const version = await readBack(running.map((i) => system.hosts[i]))
    await sleep(CALM_MS)
    record(`read back at the end: ${version === undefined ? 'no daemon answers with 200' : `version ${version}`}`)
    record(`requests at the end: ${JSON.stringify(traffic.served(from, performance.now()))}`)
    await traffic.stop()
    return version === 7 ? [] : ['CONFIG: version 7 was acknowledged and does not come when it is read back']
  } finally {
    platform.close()
    await system.close()
  }
})
