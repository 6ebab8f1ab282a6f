import pg from 'pg'
import { type Instance } from './instance.js'
import { type LedgerRecord } from './ledger.js'

/** User name of replicas; their connections do not count towards the limit. */
export const REPLICA_USER = 'replica'

const IDLE_POLL_MS = 10
const RETRY_MS = 100
const CONNECT_TIMEOUT_MS = 500
const QUERY_TIMEOUT_MS = 1000

interface StreamAnswer {
  readonly term: number
  readonly from: number
  readonly records: readonly LedgerRecord[]
}

/** Copies the primary's records, each one after the instance's lag, until stopped. */
export function replicate (instance: Instance): () => void {
  let stopped = false
  let client: pg.Client | undefined

  async function follow (generation: number): Promise<void> {
    const primary = instance.primary()
    if (instance.role() !== 'replica' || primary === undefined) return
    client = new pg.Client({
      host: primary.host,
      port: primary.port,
      user: REPLICA_USER,
      database: instance.opts.database,
      connectionTimeoutMillis: CONNECT_TIMEOUT_MS,
      query_timeout: QUERY_TIMEOUT_MS,
    })
    client.on('error', () => {})
    try {
      await client.connect()
      while (!stopped && generation === instance.generation()) await copyNext(client, generation)
    } finally {
      client.end().catch(() => {})
    }
  }

  async function copyNext (from: pg.Client, generation: number): Promise<void> {
    const starts = JSON.stringify(instance.termStarts())
    const result = await from.query(`SELECT stream_records('${starts}') AS answer`)
    if (generation !== instance.generation()) return
    const answer = JSON.parse(result.rows[0].answer) as StreamAnswer
    if (answer.from < instance.ledger.position().offset) instance.ledger.truncate(answer.from)
    instance.adoptTerm(answer.term)
    for (const record of answer.records) {
      const wait = record.committedAtMs + instance.limits.lagMs - Date.now()
      if (wait > 0) await sleep(wait)
      if (generation !== instance.generation()) return
      instance.applyReplicated(record)
    }
    if (answer.records.length === 0) await sleep(IDLE_POLL_MS)
  }

  async function run (): Promise<void> {
    while (!stopped) {
      await follow(instance.generation()).catch(() => {})
      await sleep(instance.role() === 'primary' ? RETRY_MS : IDLE_POLL_MS)
    }
  }

  run().catch(() => {})
  return () => {
    stopped = true
    client?.end().catch(() => {})
  }
}

function sleep (ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms))
}
