import { setTimeout as sleep } from 'node:timers/promises'
import { type Address } from '@briarpick/types'
import { type RowCounts } from './checkWrites.js'
import { createProxyPools, classifyError } from './createProxyPools.js'

/** Options of reading rows. */
export interface ReadRowCountsOptions {
  readonly user?: string
  readonly password?: string
}

const ATTEMPTS = 50

/** Reads all rows of a load's tables through a proxy, as current as any acknowledged write. */
export async function readRowCounts (proxies: readonly Address[], database: string, opts: ReadRowCountsOptions = {}): Promise<RowCounts> {
  const callers = createProxyPools({ proxies, database, connectionsPerProxy: 1, user: opts.user ?? 'caller', password: opts.password })
  async function count (table: string): Promise<ReadonlyMap<string, number>> {
    for (let attempt = 1; ; attempt++) {
      try {
        const { rows } = await callers.query(attempt, `SELECT id FROM ${table} /*briarpick_current='on'*/`, [])
        return countById(rows as ReadonlyArray<{ readonly id: string }>)
      } catch (err) {
        if (attempt >= ATTEMPTS) throw err
        await sleep(classifyError(err).retryAfterMs)
      }
    }
  }
  try {
    return { database, readings: await count('reading'), filings: await count('filing') }
  } finally {
    await callers.close()
  }
}

function countById (rows: ReadonlyArray<{ readonly id: string }>): ReadonlyMap<string, number> {
  const counts = new Map<string, number>()
  for (const { id } of rows) counts.set(id, (counts.get(id) ?? 0) + 1)
  return counts
}
