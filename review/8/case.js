// Three machines serve control. The operator sends a configuration whose routes lack all their fields, and sends it again, unchanged and to
// another daemon, while it gets no clear response.
import { setTimeout as sleep } from 'node:timers/promises'
import { configuration, order } from '../standIn2/operator.js'
import { createRecord, hasTrouble, runCase } from '../standIn2/record.js'
import { startPlatform } from '../standIn2/instances.js'
import { createSystem } from '../standIn2/system.js'
import { startTraffic } from '../standIn2/traffic.js'

const MACHINES = 3
const SERVICES = ['ledger']
const READY_MS = 15_000
const CALM_MS = 5000
/** Length of the document below `max_body_bytes` of the pages' example, 262,144. */
const ROUTES = hasTrouble ? 87_000 : 3
const ORDER_MS = 45_000
/** Longest wait for a response, more for large bodies. */
const RESPONSE_MS = 5000
/** Ends of processes on one machine from which the rule counts them. */
const ENDS = 3

const record = createRecord(import.meta.dirname, 'record.txt')

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
    const calmFrom = performance.now()
    await sleep(CALM_MS)
    record(`before the invalid configuration: ${JSON.stringify(traffic.served(calmFrom, performance.now()))}`)
    const invalid = JSON.stringify({ ...configuration(9, SERVICES), routes: Array.from({ length: ROUTES }, () => ({})) })
    record(`the invalid configuration has ${invalid.length} bytes and ${ROUTES} routes without fields`)
    const orderedAt = performance.now()
    const answer = await order(system.hosts, invalid, { record, what: 'version 9 (invalid)', forMs: ORDER_MS, timeoutMs: RESPONSE_MS })
    record(`the invalid configuration ended with ${answer === 0 ? 'no response' : answer}`)
    await sleep(2000)
    record(`meanwhile: ${JSON.stringify(traffic.served(orderedAt, performance.now()))}`)
    await traffic.stop()
    const ends = all.map((i) => system.ends.filter(({ name }) => name === `control-${i + 1}`).length)
    for (const i of all) {
      const [reason] = /FATAL ERROR[^\n]*/.exec(system.log(i, 'control')) ?? ['no message']
      record(`control-${i + 1} ended by itself ${ends[i]} times: ${reason}`)
    }
    const affected = ends.filter((count) => count >= ENDS).length
    return affected * 2 >= MACHINES ? [`Fault: processes ended by themselves ${ENDS} times or more on ${affected} of ${MACHINES} machines of the core`] : []
  } finally {
    platform.close()
    await system.close()
  }
})
