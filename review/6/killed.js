// Six machines in three zones; in each zone two serve control, and the first of them has a disk. The seeds are exchanged for the other
// machines that serve control; later all processes are killed and are back within a second.
import { setTimeout as sleep } from 'node:timers/promises'
import { configuration, order } from '../standIn2/operator.js'
import { createRecord, hasTrouble, runCase } from '../standIn2/record.js'
import { startPlatform } from '../standIn2/instances.js'
import { createSystem, PORTS, statusOf } from '../standIn2/system.js'
import { startTraffic } from '../standIn2/traffic.js'

const MACHINES = 6
const SERVICES = ['ledger', 'index']
const READY_MS = 15_000
const BEFORE_MS = 6000
/** Time between the exchange of the seeds and the kill: longer than the 2 s in which a settings file is read again, and `seed_lag_s`. */
const AFTER_TURNOVER_MS = 6000
const RECOVERY_MS = 12_000
const JUDGED_MS = 8000

const record = createRecord(import.meta.dirname, 'killed-record.txt')

await runCase(record, async () => {
  const system = await createSystem({ machines: MACHINES, record })
  const platform = await startPlatform({ system, services: SERVICES, record })
  const all = Array.from({ length: MACHINES }, (_, i) => i)
  try {
    for (const i of all) for (const role of ['control', 'proxy']) system.start(i, role, true)
    const status = await order(system.hosts, JSON.stringify(configuration(7, SERVICES)), { record, what: 'version 7', forMs: READY_MS })
    if (status !== 200) throw new Error(`the first configuration got ${status}`)
    for (const i of all) if (!await system.ready(i, READY_MS)) throw new Error(`machine ${i + 1} did not become ready`)
    const traffic = startTraffic({ hosts: system.hosts, services: SERVICES })
    await sleep(2000)
    const from = performance.now()
    await sleep(BEFORE_MS)
    if (hasTrouble) {
      const seeds = system.hosts.slice(3)
      record(`the settings name other seeds, which serve control: ${seeds.join(' ')}`)
      system.setSeeds(seeds)
    }
    await sleep(AFTER_TURNOVER_MS)
    const before = traffic.served(from, performance.now())
    record(`before the final fault: ${JSON.stringify(before)}`)
    for (const i of all) for (const role of ['control', 'proxy']) system.signal(i, role, 'SIGKILL')
    await sleep(1000)
    const areBack = all.every((i) => system.isRunning(i, 'control') && system.isRunning(i, 'proxy'))
    if (!areBack) throw new Error('the processes were not back within a second')
    const backAt = performance.now()
    await sleep(RECOVERY_MS + JUDGED_MS)
    const after = traffic.served(backAt + RECOVERY_MS, performance.now())
    record(`sent later than ${RECOVERY_MS / 1000} s after all were back: ${JSON.stringify(after)}`)
    for (const [i, host] of system.hosts.slice(0, MACHINES).entries()) {
      const ready = await statusOf(`http://${host}:${PORTS.readiness}/-/readyz`)
      const config = await statusOf(`http://${host}:${PORTS.admin}/-/config`)
      record(`machine ${i + 1}${i < 3 ? ' (disk)' : ''}: readiness ${ready}, GET /-/config ${config}`)
    }
    await traffic.stop()
    if (before.served < before.sent / 4) throw new Error('less than a quarter was served before')
    return after.served < after.sent / 4 ? [`RECOVER: ${after.served} of ${after.sent} requests were served`] : []
  } finally {
    platform.close()
    await system.close()
  }
})
