import pg from 'pg'
import { type Address } from '@briarpick/types'
import { type OperationOutcome } from './loadTypes.js'

/** Connections to all proxies for one database. */
export interface ProxyPools {
  /** Runs a statement through a proxy; waits for a free connection. */
  query: (proxy: number, text: string, values: readonly unknown[]) => Promise<pg.QueryResult>
  close: () => Promise<void>
}

/** Options of callers. */
export interface ProxyPoolsOptions {
  readonly proxies: readonly Address[]
  readonly database: string
  readonly connectionsPerProxy: number
  readonly user: string
  readonly password?: string
}

const CONNECT_TIMEOUT_MS = 3000

/** Opens pools of a stock driver. */
export function createProxyPools (opts: ProxyPoolsOptions): ProxyPools {
  const pools = opts.proxies.map(({ host, port }) => {
    const pool = new pg.Pool({
      host,
      port,
      database: opts.database,
      user: opts.user,
      password: opts.password,
      max: opts.connectionsPerProxy,
      connectionTimeoutMillis: CONNECT_TIMEOUT_MS,
    })
    pool.on('error', () => {})
    return pool
  })
  return {
    query: async (proxy, text, values) => await pools[proxy % pools.length].query(text, [...values]),
    async close () {
      await Promise.all(pools.map((pool) => pool.end()))
    },
  }
}

/** A caller's reading of a failure. */
export interface ClassifiedError {
  readonly outcome: OperationOutcome
  readonly code: string
  readonly retryAfterMs: number
}

const RETRY_AFTER = /retry_after_ms=(\d+)/
const CODE = /code=(\w+)/
const NEVER_SENT: ReadonlySet<string> = new Set(['ECONNREFUSED', '57P01'])
const DEFAULT_RETRY_MS = 100

/** Reads a failure as a caller does: from the outcome that the error states, or from whether anything was sent. */
export function classifyError (err: unknown): ClassifiedError {
  const { code = '', detail = '', message = '' } = err as { readonly code?: string, readonly detail?: string, readonly message?: string }
  const name = CODE.exec(detail)?.[1] ?? code
  const retryAfterMs = Number(RETRY_AFTER.exec(detail)?.[1] ?? DEFAULT_RETRY_MS)
  if (detail.includes('outcome=refused')) return { outcome: 'refused', code: name, retryAfterMs }
  if (detail.includes('outcome=unknown')) return { outcome: 'unknown', code: name, retryAfterMs }
  if (NEVER_SENT.has(code) || message.includes('timeout exceeded when trying to connect')) return { outcome: 'refused', code: code || 'CONNECT_TIMEOUT', retryAfterMs }
  const isAnswer = /^[0-9A-Z]{5}$/.test(code)
  return { outcome: isAnswer ? 'error' : 'unknown', code: name || message, retryAfterMs }
}
