import { setTimeout as sleep } from 'node:timers/promises'
import pg from 'pg'
import { connectCaller, startSystem, type System } from '@briarpick/harness'
import { classifyError, createRandom } from '@briarpick/load'
import { atLeast, atMost, type Experiment, quantile } from '../parts/experiment.js'

const DATABASE = 'ledger'
const SERVICE_TIME_MS = 10
const DEADLINE_MS = 400
const LOAD_MULTIPLES = [1, 2, 5, 10]
const MIN_GOODPUT_RATIO = 0.9
const MAX_REJECTION_MS = 5
const MAX_RECOVERY_MS = 5000
const MIN_QUIET_SUCCESS_RATIO = 0.9
const CONNECTIONS_PER_PROXY = 500
const QUIET_RATE_PER_SECOND = 20
const QUERY = `SELECT rent FROM contract WHERE id = 1 /*briarpick_max_age='60s',briarpick_deadline='${DEADLINE_MS}ms'*/`

/** Result at one multiple of the capacity. Rates are in queries/s, latencies in ms. */
interface LoadStep {
  readonly multiple: number
  readonly offered: number
  readonly goodput: number
  readonly refusalP50: number
  readonly refusalP99: number
  readonly doneP99: number
  /** Fraction of the quiet caller's queries that succeeded. */
  readonly quietShare: number
  /** Number of queries by outcome code. */
  readonly codes: Readonly<Record<string, number>>
}

interface QueryResult {
  readonly caller: string
  readonly ms: number
  readonly code: string
}

function openPools (system: System, name: string): readonly pg.Pool[] {
  return system.proxies.map(({ callers }) => {
    const pool = new pg.Pool({ ...callers, database: DATABASE, user: 'bench', application_name: name, max: CONNECTIONS_PER_PROXY })
    pool.on('error', () => {})
    return pool
  })
}

/** Sends queries with Poisson arrivals, independent of the replies, and waits for the last reply. */
async function runOpenLoop (
  pools: readonly pg.Pool[],
  caller: string,
  perSecond: number,
  seconds: number,
  seed: number
): Promise<readonly QueryResult[]> {
  const random = createRandom(seed)
  const results: QueryResult[] = []
  const running: Array<Promise<void>> = []
  const endsAt = performance.now() + seconds * 1000
  for (let dueAt = performance.now(); dueAt < endsAt; dueAt += -Math.log(1 - random()) * 1000 / perSecond) {
    const waitMs = dueAt - performance.now()
    if (waitMs > 1) await sleep(waitMs)
    running.push(runQuery(pools[Math.floor(random() * pools.length)], caller, results))
  }
  await Promise.all(running)
  return results
}

async function runQuery (pool: pg.Pool, caller: string, results: QueryResult[]): Promise<void> {
  const client = await pool.connect()
  const startedAt = performance.now()
  try {
    await client.query(QUERY)
    results.push({ caller, ms: performance.now() - startedAt, code: 'done' })
  } catch (err) {
    results.push({ caller, ms: performance.now() - startedAt, code: classifyError(err).code })
  } finally {
    client.release()
  }
}

async function runStep (system: System, multiple: number, capacity: number, seconds: number): Promise<LoadStep> {
  const pools = openPools(system, 'loud')
  const quietPools = openPools(system, 'quiet')
  const [loud, quiet] = await Promise.all([
    runOpenLoop(pools, 'loud', capacity * multiple, seconds, multiple),
    runOpenLoop(quietPools, 'quiet', QUIET_RATE_PER_SECOND, seconds, 99),
  ])
  await Promise.all([...pools, ...quietPools].map((pool) => pool.end()))
  const all = [...loud, ...quiet]
  const done = all.filter(({ code }) => code === 'done')
  const rejected = all.filter(({ code }) => code === 'ERR_BRIARPICK_OVERLOADED')
  const codes: Record<string, number> = {}
  for (const { code } of all) codes[code] = (codes[code] ?? 0) + 1
  return {
    multiple,
    offered: all.length / seconds,
    goodput: done.length / seconds,
    refusalP50: quantile(rejected.map(({ ms }) => ms), 0.5),
    refusalP99: quantile(rejected.map(({ ms }) => ms), 0.99),
    doneP99: quantile(done.map(({ ms }) => ms), 0.99),
    quietShare: quiet.filter(({ code }) => code === 'done').length / quiet.length,
    codes,
  }
}

/** Time in ms until 20 queries in a row succeed, each within 5 times the service time. */
async function measureRecoveryMs (system: System): Promise<number> {
  const caller = await connectCaller(system.proxies[0], DATABASE)
  const startedAt = performance.now()
  for (let consecutiveFast = 0; consecutiveFast < 20;) {
    const sentAt = performance.now()
    const isFast = await caller.query(QUERY).then(() => performance.now() - sentAt < SERVICE_TIME_MS * 5, () => false)
    consecutiveFast = isFast ? consecutiveFast + 1 : 0
  }
  await caller.end()
  return performance.now() - startedAt
}

/** Goodput, rejections and fairness between callers at 1 to 10 times the capacity of the targets. */
export const overload: Experiment = async ({ short, print }) => {
  const seconds = short ? 4 : 10
  const results: Array<{ readonly slots: number, readonly steps: readonly LoadStep[], readonly recovery: number }> = []
  for (const slots of [2, 3]) {
    const system = await startSystem({
      proxies: 3,
      bundle: `version = 1\n[services.rent-ledger]\nslots = ${slots}\n`,
      standIn: { slots, statementMs: SERVICE_TIME_MS },
    })
    const caller = await connectCaller(system.proxies[0], DATABASE)
    await caller.query('CREATE TABLE contract (id int PRIMARY KEY, rent int)')
    await caller.query('INSERT INTO contract VALUES (1, 900)')
    await caller.end()
    await sleep(500)
    const capacity = 3 * slots * 1000 / (SERVICE_TIME_MS + 1)
    const steps: LoadStep[] = []
    for (const multiple of LOAD_MULTIPLES) {
      steps.push(await runStep(system, multiple, capacity, seconds))
      print(`slots ${slots}: ${JSON.stringify(steps.at(-1))}`)
    }
    results.push({ slots, steps, recovery: await measureRecoveryMs(system) })
    await system.close()
  }
  const steps = results.flatMap((result) => result.steps.slice(1))
  const goodputRatios = results.map((result) => {
    const all = result.steps.map(({ goodput }) => goodput)
    return Math.min(...all.slice(1)) / Math.max(...all)
  })
  return {
    name: 'overload',
    aims: [
      atLeast('goodput at 2 to 10 times capacity, of its peak', Math.min(...goodputRatios), MIN_GOODPUT_RATIO),
      atMost('refusal p50 under overload', Math.max(...steps.map(({ refusalP50 }) => refusalP50)), MAX_REJECTION_MS, ' ms'),
      atMost('refusal p99 under overload', Math.max(...steps.map(({ refusalP99 }) => refusalP99)), MAX_REJECTION_MS, ' ms'),
      atLeast('a quiet caller beside a loud one is served', Math.min(...steps.map(({ quietShare }) => quietShare)), MIN_QUIET_SUCCESS_RATIO),
      atMost('recovery after 10 times capacity', Math.max(...results.map(({ recovery }) => recovery)), MAX_RECOVERY_MS, ' ms'),
    ],
    data: results,
  }
}
