import { setTimeout as sleep } from 'node:timers/promises'
import hdr from 'hdr-histogram-js'
import pg from 'pg'
import { type Address } from '@briarpick/types'

/** Options of a load driver process. */
export interface LoadDriverOptions {
  readonly addresses: readonly Address[]
  readonly database: string
  readonly connections: number
  /** Arrival rate of the open loop, in requests/s; 0 for a closed loop with one request at a time on each connection. */
  readonly ratePerSecond: number
  readonly seconds: number
  /** SQL text with one parameter, the id of a row. */
  readonly text: string
}

/** Result of a load driver process. Latencies are in ms from the time at which a request was due. */
export interface LoadDriverResult {
  readonly done: number
  readonly failed: number
  readonly perSecond: number
  readonly p50: number
  readonly p99: number
}

const MICROSECONDS_PER_MS = 1000
const MS_PER_SECOND = 1000
const CONNECT_BATCH_SIZE = 50
const ROW_COUNT = 100

const opts = JSON.parse(process.argv[2] ?? '{}') as LoadDriverOptions
const histogram = hdr.build({ bitBucketSize: 32, numberOfSignificantValueDigits: 3 })
let failed = 0

async function connect (index: number): Promise<pg.Client> {
  const { host, port } = opts.addresses[index % opts.addresses.length]
  const client = new pg.Client({ host, port, user: 'bench', database: opts.database, application_name: `bench-${process.pid}` })
  client.on('error', () => {})
  await client.connect()
  return client
}

async function runQuery (client: pg.Client, dueAt: number): Promise<void> {
  try {
    await client.query(opts.text, [Math.floor(Math.random() * ROW_COUNT)])
    histogram.recordValue(Math.max(1, Math.round((performance.now() - dueAt) * MICROSECONDS_PER_MS)))
  } catch {
    failed += 1
  }
}

async function runClosedLoop (clients: readonly pg.Client[], endsAt: number): Promise<void> {
  await Promise.all(clients.map(async (client) => {
    while (performance.now() < endsAt) await runQuery(client, performance.now())
  }))
}

async function runOpenLoop (clients: readonly pg.Client[], endsAt: number): Promise<void> {
  const running: Array<Promise<void>> = []
  let sent = 0
  for (let dueAt = performance.now(); dueAt < endsAt; dueAt += MS_PER_SECOND / opts.ratePerSecond) {
    const waitMs = dueAt - performance.now()
    if (waitMs > 1) await sleep(waitMs)
    running.push(runQuery(clients[sent++ % clients.length], Math.min(dueAt, performance.now())))
  }
  await Promise.all(running)
}

const clients: pg.Client[] = []
for (let offset = 0; offset < opts.connections; offset += CONNECT_BATCH_SIZE) {
  const count = Math.min(CONNECT_BATCH_SIZE, opts.connections - offset)
  clients.push(...await Promise.all(Array.from({ length: count }, (_, i) => connect(offset + i))))
}
process.stdout.write('connected\n')
const startedAt = performance.now()
const runLoop = opts.ratePerSecond > 0 ? runOpenLoop : runClosedLoop
await runLoop(clients, startedAt + opts.seconds * MS_PER_SECOND)
const elapsedMs = performance.now() - startedAt
const result: LoadDriverResult = {
  done: histogram.totalCount,
  failed,
  perSecond: histogram.totalCount * MS_PER_SECOND / elapsedMs,
  p50: histogram.getValueAtPercentile(50) / MICROSECONDS_PER_MS,
  p99: histogram.getValueAtPercentile(99) / MICROSECONDS_PER_MS,
}
process.stdout.write(JSON.stringify(result) + '\n')
process.exit(0)
