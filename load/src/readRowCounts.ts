import { setTimeout as sleep } from 'node:timers/promises'
import { type Address } from '@briarpick/types'
import { type RowCounts } from './checkWrites.js'
import { classifyError, createProxyPools } from './createProxyPools.js'

/** Options of reading row counts. */
export interface ReadRowCountsOptions {
  readonly user?: string
  readonly password?: string
}

const MAX_ATTEMPTS = 50

/** Counts the rows of a load's tables by id, with reads through the proxies that see every acknowledged write. */
export async function readRowCounts (proxies: readonly Address[], database: string, opts: ReadRowCountsOptions = {}): Promise<RowCounts> {
  const pools = createProxyPools({ proxies, database, connectionsPerProxy: 1, user: opts.user ?? 'caller', password: opts.password })
  async function readCounts (table: string): Promise<ReadonlyMap<string, number>> {
    for (let attempt = 1; ; attempt++) {
      try {
        const { rows } = await pools.query(attempt, `SELECT id FROM ${table} /*briarpick_current='on'*/`, [])
        return countById(rows as ReadonlyArray<{ readonly id: string }>)
      } catch (err) {
        if (attempt >= MAX_ATTEMPTS) throw err
        await sleep(classifyError(err).retryAfterMs)
      }
    }
  }
  try {
    return { database, readings: await readCounts('reading'), filings: await readCounts('filing') }
  } finally {
    await pools.close()
  }
}

function countById (rows: ReadonlyArray<{ readonly id: string }>): ReadonlyMap<string, number> {
  const counts = new Map<string, number>()
  for (const { id } of rows) counts.set(id, (counts.get(id) ?? 0) + 1)
  return counts
}
