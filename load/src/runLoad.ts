import { setTimeout as sleep } from 'node:timers/promises'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { type ProxyPools, createProxyPools, classifyError } from './createProxyPools.js'
import { type LoadOptions, type LoadResult, type Operation, type OperationKind, type OperationOutcome } from './loadTypes.js'

/** Rows that sessions write once each. */
export const CREATE_READING_TABLE = 'CREATE TABLE IF NOT EXISTS reading (id text PRIMARY KEY, session text, value int)'
/** Rows of keyed writes; without a primary key, so that one that ran twice shows. */
export const CREATE_FILING_TABLE = 'CREATE TABLE IF NOT EXISTS filing (id text, session text)'

const MS_PER_SECOND = 1000
const MAX_KEYED_ATTEMPTS = 8
const SETUP_ATTEMPTS = 50

/** A source of random numbers in [0, 1). */
export type Random = () => number

/** Creates a seeded source of random numbers. */
export function createRandom (seed: number): Random {
  const generator = xoroshiro128plus(seed)
  return () => uniformFloat64(generator)
}

interface Session {
  readonly name: string
  readonly database: string
  /** Rows whose write was acknowledged. */
  readonly acknowledged: string[]
}

interface Ending {
  readonly outcome: OperationOutcome
  readonly code?: string
  readonly attempts: number
}

/** Runs a load and checks, as it goes, that sessions see their own writes. */
export async function runLoad (opts: LoadOptions): Promise<LoadResult> {
  const random = createRandom(opts.seed)
  const callers = new Map(opts.databases.map((database) => [database, callersOf(opts, database)]))
  const sessions = opts.databases.flatMap((database) => Array.from({ length: opts.sessions }, (_, i) => ({
    name: `s${opts.seed}-${i}`, database, acknowledged: [],
  } as Session)))
  const operations: Operation[] = []
  const broken: string[] = []
  let nextId = 0

  const runners: Readonly<Record<OperationKind, (session: Session, id: string, proxy: number) => Promise<Ending>>> = {
    async read (session, id, proxy) {
      const comment = `/*briarpick_session='${session.name}'*/`
      const rows = await query(session, proxy, `SELECT id FROM reading WHERE id = $1 ${comment}`, [id])
      if (rows !== 1) broken.push(`session ${session.name} of ${session.database} read ${id}, which it had written, and found ${rows} rows`)
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
    keyedWrite: async (session, id, proxy) => await sendUntilDone(session, id, proxy),
  }

  async function query (session: Session, proxy: number, text: string, values: readonly unknown[]): Promise<number> {
    const result = await (callers.get(session.database) as ProxyPools).query(proxy, text, values)
    return result.rowCount ?? 0
  }

  /** Sends a keyed write again, through the next proxy each time, until its outcome is known. */
  async function sendUntilDone (session: Session, id: string, proxy: number): Promise<Ending> {
    const text = `INSERT INTO filing (id, session) VALUES ($1, $2) /*briarpick_key='${id}'*/`
    let last: Ending = { outcome: 'unknown', attempts: 0 }
    for (let attempts = 1; attempts <= MAX_KEYED_ATTEMPTS; attempts++) {
      try {
        await query(session, proxy + attempts, text, [id, session.name])
        return { outcome: 'done', attempts }
      } catch (err) {
        const failure = classifyError(err)
        const outcome = last.attempts > 0 && last.outcome === 'unknown' ? 'unknown' : failure.outcome
        last = { outcome, code: failure.code, attempts }
        await sleep(failure.retryAfterMs)
      }
    }
    return last
  }

  async function operate (arrivedAt: number): Promise<void> {
    const session = sessions[Math.floor(random() * sessions.length)]
    const proxy = Math.floor(random() * opts.proxies.length)
    const kind = pickKind(random, opts, session)
    const isRead = kind === 'read' || kind === 'staleRead'
    const id = isRead ? pickRead(random, session) : `${session.name}-${nextId++}`
    const ending = await runners[kind](session, id, proxy).catch((err): Ending => {
      const { outcome, code } = classifyError(err)
      if (kind === 'write' && code === '23505') broken.push(`write ${id} of ${session.database} ran twice`)
      return { outcome, code, attempts: 1 }
    })
    operations.push({ kind, database: session.database, session: session.name, id, arrivedAt, endedAt: performance.now(), ...ending })
  }

  await prepare([...callers.values()])
  const running = new Set<Promise<void>>()
  const startedAt = performance.now()
  const end = startedAt + opts.seconds * MS_PER_SECOND
  for (let due = startedAt; due < end; due += -Math.log(1 - random()) * MS_PER_SECOND / opts.ratePerSecond) {
    const wait = due - performance.now()
    if (wait > 1) await sleep(wait)
    const operation = operate(due).finally(() => running.delete(operation))
    running.add(operation)
  }
  await Promise.all(running)
  await Promise.all([...callers.values()].map((caller) => caller.close()))
  return { operations, broken }
}

function callersOf (opts: LoadOptions, database: string): ProxyPools {
  return createProxyPools({
    proxies: opts.proxies, database, connectionsPerProxy: opts.connectionsPerProxy, user: opts.user ?? 'caller', password: opts.password,
  })
}

function pickKind (random: Random, { mix }: LoadOptions, session: Session): OperationKind {
  if (session.acknowledged.length === 0) return 'write'
  const entries = Object.entries(mix) as Array<[OperationKind, number]>
  const total = entries.reduce((sum, [, part]) => sum + part, 0)
  let left = random() * total
  for (const [kind, part] of entries) {
    left -= part
    if (left < 0) return kind
  }
  return 'read'
}

/** Most reads look for the newest write, where a stale replica would show. */
function pickRead (random: Random, { acknowledged }: Session): string {
  const newest = acknowledged.length - 1
  return acknowledged[random() < 0.5 ? newest : Math.floor(random() * acknowledged.length)]
}

async function prepare (callers: readonly ProxyPools[]): Promise<void> {
  for (const caller of callers) {
    for (const table of [CREATE_READING_TABLE, CREATE_FILING_TABLE]) await untilDone(() => caller.query(0, table, []))
  }
}

async function untilDone (run: () => Promise<unknown>): Promise<void> {
  for (let attempt = 1; ; attempt++) {
    try {
      await run()
      return
    } catch (err) {
      if (attempt >= SETUP_ATTEMPTS) throw err
      await sleep(classifyError(err).retryAfterMs)
    }
  }
}
