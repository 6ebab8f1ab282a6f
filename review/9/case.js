// Three machines start; the first configuration has version 0, and a change follows with version 1.
import { setTimeout as sleep } from 'node:timers/promises'
import { configuration, order } from '../standIn2/operator.js'
import { createRecord, hasTrouble, runCase } from '../standIn2/record.js'
import { startPlatform } from '../standIn2/instances.js'
import { createSystem, PORTS, statusOf } from '../standIn2/system.js'
import { startTraffic } from '../standIn2/traffic.js'

const MACHINES = 3
const SERVICES = ['ledger']
const FIRST_VERSION = hasTrouble ? 0 : 1
const READY_MS = 15_000
/** Traffic starts 12 s after the machines do. */
const LEAD_MS = 12_000
const SPAN_MS = 12_000

const record = createRecord(import.meta.dirname, 'record.txt')

await runCase(record, async () => {
  const system = await createSystem({ machines: MACHINES, record })
  const platform = await startPlatform({ system, services: SERVICES, record })
  const all = Array.from({ length: MACHINES }, (_, i) => i)
  const submit = async (version) => {
    const body = JSON.stringify(configuration(version, SERVICES))
    const status = await order(system.hosts, body, { record, what: `version ${version}`, forMs: READY_MS })
    if (status !== 200) throw new Error(`version ${version} got ${status}`)
  }
  try {
    const startedAt = performance.now()
    for (const i of all) for (const role of ['control', 'proxy']) system.start(i, role, true)
    await submit(FIRST_VERSION)
    await sleep(startedAt + LEAD_MS - performance.now())
    const traffic = startTraffic({ hosts: system.hosts, services: SERVICES })
    const spans = []
    for (const version of [FIRST_VERSION, FIRST_VERSION + 1, FIRST_VERSION + 2]) {
      if (version !== FIRST_VERSION) await submit(version)
      const from = performance.now()
      await sleep(SPAN_MS)
      const span = traffic.served(from, performance.now())
      spans.push(span)
      const readiness = await Promise.all(system.hosts.map(async (host) => await statusOf(`http://${host}:${PORTS.readiness}/-/readyz`)))
      record(`${SPAN_MS / 1000} s from the acknowledgement of version ${version}: ${JSON.stringify(span)}; readiness ${readiness.join(' ')}`)
    }
    await traffic.stop()
    const served = spans.reduce((sum, span) => sum + span.served, 0)
    const sent = spans.reduce((sum, span) => sum + span.sent, 0)
    return served === 0 ? [`Fault: no request was served of ${sent}, though three versions were acknowledged`] : []
  } finally {
    platform.close()
    await system.close()
  }
})
