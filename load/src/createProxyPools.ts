import pg from 'pg'
import { type Address } from '@briarpick/types'
import { type OperationOutcome } from './loadTypes.js'

/** Connection pools for one database, one per proxy. */
export interface ProxyPools {
  /** Runs a statement through the proxy at index `proxy` modulo the number of proxies; waits for a free connection. */
  query: (proxy: number, text: string, values: readonly unknown[]) => Promise<pg.QueryResult>
  close: () => Promise<void>
}

/** Options of proxy pools. */
export interface ProxyPoolsOptions {
  readonly proxies: readonly Address[]
  readonly database: string
  readonly connectionsPerProxy: number
  readonly user: string
  readonly password?: string
}

const CONNECT_TIMEOUT_MS = 3000

/** Creates the pools, with an unmodified PostgreSQL driver. */
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

/** Outcome, code and retry delay (ms) that a caller derives from an error. */
export interface ClassifiedError {
  readonly outcome: OperationOutcome
  readonly code: string
  readonly retryAfterMs: number
}

const RETRY_AFTER_PATTERN = /retry_after_ms=(\d+)/
const CODE_PATTERN = /code=(\w+)/
const NOT_SENT_CODES: ReadonlySet<string> = new Set(['ECONNREFUSED', '57P01'])
const DEFAULT_RETRY_DELAY_MS = 100

/** Classifies an error as a caller does: by the outcome that it states, otherwise by whether the statement was sent. */
export function classifyError (err: unknown): ClassifiedError {
  const { code = '', detail = '', message = '' } = err as { readonly code?: string, readonly detail?: string, readonly message?: string }
  const errorCode = CODE_PATTERN.exec(detail)?.[1] ?? code
  const retryAfterMs = Number(RETRY_AFTER_PATTERN.exec(detail)?.[1] ?? DEFAULT_RETRY_DELAY_MS)
  if (detail.includes('outcome=refused')) return { outcome: 'refused', code: errorCode, retryAfterMs }
  if (detail.includes('outcome=unknown')) return { outcome: 'unknown', code: errorCode, retryAfterMs }
  if (NOT_SENT_CODES.has(code) || message.includes('timeout exceeded when trying to connect')) return { outcome: 'refused', code: code || 'CONNECT_TIMEOUT', retryAfterMs }
  const isSqlState = /^[0-9A-Z]{5}$/.test(code)
  return { outcome: isSqlState ? 'error' : 'unknown', code: errorCode || message, retryAfterMs }
}
