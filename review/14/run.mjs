// A first start whose seeds are machines that serve control and have no disk. Checks that requests are served.
import fs from 'node:fs'
import path from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { startDatabase } from '../stand-ins-3/database.mjs'
import { drawSubnet, instanceAddress, startDeployment } from '../stand-ins-3/deployment.mjs'
import { openSession } from '../stand-ins-3/wire.mjs'

const HAS_TROUBLE = process.env.TROUBLE !== '0'
const MACHINES = 6
/** Machines with a disk: the first of each of three zones, as on all sites. */
const WITH_DISK = 3
const RUN_MS = 60_000
/** Time in which the system without the trouble serves, in ms; the run ends after it. */
const SERVING_MS = 10_000
const SERVICE = 'ledger'

const lines = []
const startedAt = performance.now()
const record = (line) => { lines.push(`${((performance.now() - startedAt) / 1000).toFixed(3)} s  ${line}`) }
const subnet = drawSubnet()
const counts = {}
let isRunning = true
let lastId = 0
let runs = 0
let served = 0

const newId = () => {
  lastId += 1
  return `${process.pid.toString(16)}${lastId.toString(16).padStart(8, '0')}`
}
const count = (what) => { counts[what] = (counts[what] ?? 0) + 1 }

const database = await startDatabase({
  service: SERVICE,
  slots: 2,
  addresses: [0, 1, 2].map((i) => instanceAddress(subnet, 0, i)),
  rowsOf: () => ({ count: 1, text: 'row' }),
  onRun () { runs += 1 },
})
const deployment = await startDeployment({
  subnet,
  machines: MACHINES,
  controls: MACHINES,
  hasDisk: (i) => i < WITH_DISK,
  seeds: HAS_TROUBLE ? [3, 4, 5] : [0, 1, 2],
  databases: [database],
  record,
  config: {
    version: 1,
    routes: [{
      name: 'primary',
      host: `primary-${SERVICE}`,
      path_prefix: '/',
      kind: 'primary',
      timeout_ms: 800,
      target_latency_ms: 120,
      priority: 1,
      service: SERVICE,
      max_attempts: 2,
    }],
    services: [{ name: SERVICE, health_path: '/healthz', max_conns: 16, protocol: 'h1', tls: false, sync_replicas: 1 }],
    limits: { max_header_bytes: 16_384, max_body_bytes: 262_144, header_timeout_ms: 3000, idle_timeout_ms: 15_000, tx_idle_ms: 3000 },
  },
})

/** Reads and writes of a client, one statement at a time; it connects to the next machine after a refusal. */
async function runClient (first) {
  let session
  for (let machine = first; isRunning; machine = (machine + 1) % MACHINES) {
    session = await openSession(deployment.frontendOf(machine), `primary-${SERVICE}`)
    if (session === undefined) count('not connected')
    while (isRunning && session?.isOpen() === true) {
      const answer = await session.query(newId(), Math.random() < 0.5 ? `WRITE i${first} d` : `READ i${first}`)
      const result = answer === undefined ? 'connection ended' : answer.at(-2).split(' ').slice(0, 2).join(' ').replace(/COMPLETE.*/, 'done')
      count(result)
      if (result === 'done') served += 1
      else session.close()
      await sleep(20)
    }
    await sleep(100)
  }
  session?.close()
}

async function run () {
  const ready = deployment.becomesReady().catch((err) => record(`the configuration could not be sent: ${err.stack}`))
  for (let i = 0; i < MACHINES; i += 1) runClient(i).catch((err) => record(`a client ended: ${err.stack}`))
  const until = performance.now() + (HAS_TROUBLE ? RUN_MS : SERVING_MS)
  for (let second = 1; performance.now() < until; second += 1) {
    await sleep(1000)
    if (second % 5 === 0) record(`served: ${served}, run by instances: ${runs}, answers: ${JSON.stringify(counts)}`)
  }
  isRunning = false
  record(`all proxies became ready with an acknowledged configuration within 20 s: ${await ready}`)
  for (const status of deployment.answers) record(`answers to the operator's PUT /-/config: ${status.join(': ')}`)
  return served === 0 ? 1 : 0
}

const code = await run().catch((err) => {
  record(`the case could not run: ${err.stack}`)
  return 2
})
deployment.close()
record(['the rule held', 'the rule was broken', 'the case could not run'][code])
fs.writeFileSync(path.join(import.meta.dirname, 'record.txt'), `${lines.join('\n')}\n`)
process.exit(code)
