import { setTimeout as sleep } from 'node:timers/promises'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { classifyError, createProxyPools, type ProxyPools } from './createProxyPools.js'
import { type LoadOptions, type LoadResult, type Operation, type OperationKind, type OperationOutcome } from './loadTypes.js'

/** Creates the table of plain writes; each row is written once, and the primary key rejects a write that runs twice. */
export const CREATE_READING_TABLE = 'CREATE TABLE IF NOT EXISTS reading (id text PRIMARY KEY, session text, value int)'
/** Creates the table of keyed writes; without a primary key, so that a write that ran twice leaves two rows. */
export const CREATE_FILING_TABLE = 'CREATE TABLE IF NOT EXISTS filing (id text, session text)'

const MS_PER_SECOND = 1000
const MAX_KEYED_ATTEMPTS = 8
const MAX_SETUP_ATTEMPTS = 50

/** Source of random numbers, uniform in [0, 1). */
export type Random = () => number

/** Creates a seeded source of random numbers. */
export function createRandom (seed: number): Random {
  const generator = xoroshiro128plus(seed)
  return () => uniformFloat64(generator)
}

interface Session {
  readonly name: string
  readonly database: string
  /** Ids of the rows whose write was acknowledged. */
  readonly acknowledged: string[]
}

interface OperationResult {
  readonly outcome: OperationOutcome
  readonly code?: string
  readonly attempts: number
}

/** Runs an open-loop load with Poisson arrivals and checks during the run that sessions read their own writes. */
export async function runLoad (opts: LoadOptions): Promise<LoadResult> {
  const random = createRandom(opts.seed)
  const poolsByDatabase = new Map(opts.databases.map((database) => [database, createDatabasePools(opts, database)]))
  const sessions = opts.databases.flatMap((database) => Array.from({ length: opts.sessions }, (_, i) => ({
    name: `s${opts.seed}-${i}`, database, acknowledged: [],
  } as Session)))
  const operations: Operation[] = []
  const violations: string[] = []
  let nextId = 0

  const runners: Readonly<Record<OperationKind, (session: Session, id: string, proxy: number) => Promise<OperationResult>>> = {
    async read (session, id, proxy) {
      const comment = `/*briarpick_session='${session.name}'*/`
      const rows = await query(session, proxy, `SELECT id FROM reading WHERE id = $1 ${comment}`, [id])
      if (rows !== 1) violations.push(`session ${session.name} of ${session.database} read its own write ${id} and found ${rows} rows instead of 1`)
      return { outcome: 'done', attempts: 1 }
    },
    async staleRead (session, id, proxy) {
      await query(session, proxy, `SELECT id FROM reading WHERE id = $1 /*briarpick_max_age='${opts.maxAgeMs}ms'*/`, [id])
      return { outcome: 'done', attempts: 1 }
    },
    async write (session, id, proxy) {
      const comment = `/*briarpick_session='${session.name}'*/`
      await query(session, proxy, `INSERT INTO reading (id, session, value) VALUES ($1, $2, 1) ${comment}`, [id, session.name])
      session.acknowledged.push(id)
      return { outcome: 'done', attempts: 1 }
    },
    keyedWrite: async (session, id, proxy) => await retryKeyedWrite(session, id, proxy),
  }

  async function query (session: Session, proxy: number, text: string, values: readonly unknown[]): Promise<number> {
    const result = await (poolsByDatabase.get(session.database) as ProxyPools).query(proxy, text, values)
    return result.rowCount ?? 0
  }

  /** Retries a keyed write, through the next proxy each time, until it succeeds or MAX_KEYED_ATTEMPTS is reached. */
  async function retryKeyedWrite (session: Session, id: string, proxy: number): Promise<OperationResult> {
    const text = `INSERT INTO filing (id, session) VALUES ($1, $2) /*briarpick_key='${id}'*/`
    let last: OperationResult = { outcome: 'unknown', attempts: 0 }
    for (let attempts = 1; attempts <= MAX_KEYED_ATTEMPTS; attempts++) {
      try {
        await query(session, proxy + attempts, text, [id, session.name])
        return { outcome: 'done', attempts }
      } catch (err) {
        const failure = classifyError(err)
        // A refusal of a later attempt says nothing about an earlier attempt whose outcome is unknown.
        const outcome = last.attempts > 0 && last.outcome === 'unknown' ? 'unknown' : failure.outcome
        last = { outcome, code: failure.code, attempts }
        await sleep(failure.retryAfterMs)
      }
    }
    return last
  }

  async function runOperation (arrivedAt: number): Promise<void> {
    const session = sessions[Math.floor(random() * sessions.length)]
    const proxy = Math.floor(random() * opts.proxies.length)
    const kind = pickKind(random, opts, session)
    const isRead = kind === 'read' || kind === 'staleRead'
    const id = isRead ? pickReadId(random, session) : `${session.name}-${nextId++}`
    const result = await runners[kind](session, id, proxy).catch((err): OperationResult => {
      const { outcome, code } = classifyError(err)
      if (kind === 'write' && code === '23505') violations.push(`write ${id} of ${session.database} ran twice`)
      return { outcome, code, attempts: 1 }
    })
    operations.push({ kind, database: session.database, session: session.name, id, arrivedAt, endedAt: performance.now(), ...result })
  }

  await createTables([...poolsByDatabase.values()])
  const running = new Set<Promise<void>>()
  const startedAt = performance.now()
  const endAt = startedAt + opts.seconds * MS_PER_SECOND
  for (let arrivalAt = startedAt; arrivalAt < endAt; arrivalAt += -Math.log(1 - random()) * MS_PER_SECOND / opts.ratePerSecond) {
    const wait = arrivalAt - performance.now()
    if (wait > 1) await sleep(wait)
    const operation = runOperation(arrivalAt).finally(() => running.delete(operation))
    running.add(operation)
  }
  await Promise.all(running)
  await Promise.all([...poolsByDatabase.values()].map((pools) => pools.close()))
  return { operations, broken: violations }
}

function createDatabasePools (opts: LoadOptions, database: string): ProxyPools {
  return createProxyPools({
    proxies: opts.proxies, database, connectionsPerProxy: opts.connectionsPerProxy, user: opts.user ?? 'caller', password: opts.password,
  })
}

function pickKind (random: Random, { mix }: LoadOptions, session: Session): OperationKind {
  if (session.acknowledged.length === 0) return 'write'
  const entries = Object.entries(mix) as Array<[OperationKind, number]>
  const total = entries.reduce((sum, [, weight]) => sum + weight, 0)
  let remaining = random() * total
  for (const [kind, weight] of entries) {
    remaining -= weight
    if (remaining < 0) return kind
  }
  return 'read'
}

/** Picks the row to read: with probability 0.5 the session's newest write, which a stale replica may lack, otherwise a random one. */
function pickReadId (random: Random, { acknowledged }: Session): string {
  const newestIndex = acknowledged.length - 1
  return acknowledged[random() < 0.5 ? newestIndex : Math.floor(random() * acknowledged.length)]
}

async function createTables (databasePools: readonly ProxyPools[]): Promise<void> {
  for (const pools of databasePools) {
    for (const table of [CREATE_READING_TABLE, CREATE_FILING_TABLE]) await retryUntilDone(() => pools.query(0, table, []))
  }
}

async function retryUntilDone (run: () => Promise<unknown>): Promise<void> {
  for (let attempt = 1; ; attempt++) {
    try {
      await run()
      return
    } catch (err) {
      if (attempt >= MAX_SETUP_ATTEMPTS) throw err
      await sleep(classifyError(err).retryAfterMs)
    }
  }
}
