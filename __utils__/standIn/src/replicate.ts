import pg from 'pg'
import { type Instance } from './createInstance.js'
import { type LedgerRecord } from './createLedger.js'

/** User name of replicas. Their connections do not count towards maxConnections. */
export const REPLICA_USER = 'replica'

const IDLE_POLL_MS = 10
const RETRY_MS = 100
const CONNECT_TIMEOUT_MS = 500
const QUERY_TIMEOUT_MS = 1000

interface StreamedRecords {
  /** The primary's term. */
  readonly term: number
  /** Length of the common prefix of both logs; the replica drops its records after it. */
  readonly from: number
  readonly records: readonly LedgerRecord[]
}

/** Copies the primary's log and applies each record after the instance's replication lag. Returns a function that stops it. */
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
      while (!stopped && generation === instance.generation()) await copyNextRecords(client, generation)
    } finally {
      client.end().catch(() => {})
    }
  }

  async function copyNextRecords (primaryClient: pg.Client, generation: number): Promise<void> {
    const termEnds = JSON.stringify(instance.termEnds())
    const result = await primaryClient.query(`SELECT stream_records('${termEnds}') AS answer`)
    if (generation !== instance.generation()) return
    const streamed = JSON.parse(result.rows[0].answer) as StreamedRecords
    if (streamed.from < instance.ledger.position().offset) instance.ledger.truncate(streamed.from)
    instance.adoptTerm(streamed.term)
    for (const record of streamed.records) {
      const waitMs = record.committedAtMs + instance.limits.lagMs - Date.now()
      if (waitMs > 0) await sleep(waitMs)
      if (generation !== instance.generation()) return
      instance.applyReplicated(record)
    }
    if (streamed.records.length === 0) await sleep(IDLE_POLL_MS)
  }

  async function runLoop (): Promise<void> {
    while (!stopped) {
      await follow(instance.generation()).catch(() => {})
      await sleep(instance.role() === 'primary' ? RETRY_MS : IDLE_POLL_MS)
    }
  }

  runLoop().catch(() => {})
  return () => {
    stopped = true
    client?.end().catch(() => {})
  }
}

function sleep (ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms))
}
