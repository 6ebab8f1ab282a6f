import { setTimeout as sleep } from 'node:timers/promises'
import hdr from 'hdr-histogram-js'
import pg from 'pg'
import { type Address } from '@briarpick/types'

/** What a driver process does. */
export interface LoadDriverOptions {
  readonly addresses: readonly Address[]
  readonly database: string
  readonly connections: number
  /** Requests in a second; 0 for one after the other on each connection. */
  readonly ratePerSecond: number
  readonly seconds: number
  readonly text: string
}

/** What a driver process measured; latencies in ms, from when a request was due. */
export interface LoadDriverResult {
  readonly done: number
  readonly failed: number
  readonly perSecond: number
  readonly p50: number
  readonly p99: number
}

const MICROSECONDS_PER_MS = 1000
const MS_PER_SECOND = 1000
const CONNECT_BATCH = 50
const ROWS = 100

const opts = JSON.parse(process.argv[2] ?? '{}') as LoadDriverOptions
const histogram = hdr.build({ bitBucketSize: 32, numberOfSignificantValueDigits: 3 })
let failed = 0

async function connect (place: number): Promise<pg.Client> {
  const { host, port } = opts.addresses[place % opts.addresses.length]
  const client = new pg.Client({ host, port, user: 'bench', database: opts.database, application_name: `bench-${process.pid}` })
  client.on('error', () => {})
  await client.connect()
  return client
}

async function ask (client: pg.Client, due: number): Promise<void> {
  try {
    await client.query(opts.text, [Math.floor(Math.random() * ROWS)])
    histogram.recordValue(Math.max(1, Math.round((performance.now() - due) * MICROSECONDS_PER_MS)))
  } catch {
    failed += 1
  }
}

async function closedLoop (clients: readonly pg.Client[], end: number): Promise<void> {
  await Promise.all(clients.map(async (client) => {
    while (performance.now() < end) await ask(client, performance.now())
  }))
}

async function openLoop (clients: readonly pg.Client[], end: number): Promise<void> {
  const running: Array<Promise<void>> = []
  let turn = 0
  for (let due = performance.now(); due < end; due += MS_PER_SECOND / opts.ratePerSecond) {
    const wait = due - performance.now()
    if (wait > 1) await sleep(wait)
    running.push(ask(clients[turn++ % clients.length], Math.min(due, performance.now())))
  }
  await Promise.all(running)
}

const clients: pg.Client[] = []
for (let from = 0; from < opts.connections; from += CONNECT_BATCH) {
  const count = Math.min(CONNECT_BATCH, opts.connections - from)
  clients.push(...await Promise.all(Array.from({ length: count }, (_, i) => connect(from + i))))
}
process.stdout.write('connected\n')
const startedAt = performance.now()
const run = opts.ratePerSecond > 0 ? openLoop : closedLoop
await run(clients, startedAt + opts.seconds * MS_PER_SECOND)
const elapsed = performance.now() - startedAt
const result: LoadDriverResult = {
  done: histogram.totalCount,
  failed,
  perSecond: histogram.totalCount * MS_PER_SECOND / elapsed,
  p50: histogram.getValueAtPercentile(50) / MICROSECONDS_PER_MS,
  p99: histogram.getValueAtPercentile(99) / MICROSECONDS_PER_MS,
}
process.stdout.write(JSON.stringify(result) + '\n')
process.exit(0)
