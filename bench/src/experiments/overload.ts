import { setTimeout as sleep } from 'node:timers/promises'
import pg from 'pg'
import { connectCaller, startSystem, type System } from '@briarpick/harness'
import { createRandom, classifyError } from '@briarpick/load'
import { atLeast, atMost, type Experiment, quantile } from '../parts/experiment.js'

const DATABASE = 'ledger'
const STATEMENT_MS = 10
const DEADLINE_MS = 400
const MULTIPLES = [1, 2, 5, 10]
const MIN_GOODPUT = 0.9
const MAX_REFUSAL_MS = 5
const MAX_RECOVERY_MS = 5000
const MIN_QUIET_SHARE = 0.9
const CONNECTIONS_PER_PROXY = 500
const QUIET_PER_SECOND = 20
const TEXT = `SELECT rent FROM contract WHERE id = 1 /*briarpick_max_age='60s',briarpick_deadline='${DEADLINE_MS}ms'*/`

interface Step {
  readonly multiple: number
  readonly offered: number
  readonly goodput: number
  readonly refusalP50: number
  readonly refusalP99: number
  readonly doneP99: number
  readonly quietShare: number
  readonly codes: Readonly<Record<string, number>>
}

interface Answer {
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

async function offer (
  pools: readonly pg.Pool[],
  caller: string,
  perSecond: number,
  seconds: number,
  seed: number
): Promise<readonly Answer[]> {
  const random = createRandom(seed)
  const answers: Answer[] = []
  const running: Array<Promise<void>> = []
  const end = performance.now() + seconds * 1000
  for (let due = performance.now(); due < end; due += -Math.log(1 - random()) * 1000 / perSecond) {
    const wait = due - performance.now()
    if (wait > 1) await sleep(wait)
    running.push(askOnce(pools[Math.floor(random() * pools.length)], caller, answers))
  }
  await Promise.all(running)
  return answers
}

async function askOnce (pool: pg.Pool, caller: string, answers: Answer[]): Promise<void> {
  const client = await pool.connect()
  const startedAt = performance.now()
  try {
    await client.query(TEXT)
    answers.push({ caller, ms: performance.now() - startedAt, code: 'done' })
  } catch (err) {
    answers.push({ caller, ms: performance.now() - startedAt, code: classifyError(err).code })
  } finally {
    client.release()
  }
}

async function step (system: System, multiple: number, capacity: number, seconds: number): Promise<Step> {
  const pools = openPools(system, 'loud')
  const quietPools = openPools(system, 'quiet')
  const [loud, quiet] = await Promise.all([
    offer(pools, 'loud', capacity * multiple, seconds, multiple),
    offer(quietPools, 'quiet', QUIET_PER_SECOND, seconds, 99),
  ])
  await Promise.all([...pools, ...quietPools].map((pool) => pool.end()))
  const all = [...loud, ...quiet]
  const done = all.filter(({ code }) => code === 'done')
  const refused = all.filter(({ code }) => code === 'ERR_BRIARPICK_OVERLOADED')
  const codes: Record<string, number> = {}
  for (const { code } of all) codes[code] = (codes[code] ?? 0) + 1
  return {
    multiple,
    offered: all.length / seconds,
    goodput: done.length / seconds,
    refusalP50: quantile(refused.map(({ ms }) => ms), 0.5),
    refusalP99: quantile(refused.map(({ ms }) => ms), 0.99),
    doneP99: quantile(done.map(({ ms }) => ms), 0.99),
    quietShare: quiet.filter(({ code }) => code === 'done').length / quiet.length,
    codes,
  }
}

async function recoveryMs (system: System): Promise<number> {
  const caller = await connectCaller(system.proxies[0], DATABASE)
  const startedAt = performance.now()
  for (let good = 0; good < 20;) {
    const sentAt = performance.now()
    const isQuick = await caller.query(TEXT).then(() => performance.now() - sentAt < STATEMENT_MS * 5, () => false)
    good = isQuick ? good + 1 : 0
  }
  await caller.end()
  return performance.now() - startedAt
}

/** Goodput, refusals and fairness at 1 to 10 times what the targets can serve. */
export const overload: Experiment = async ({ short, print }) => {
  const seconds = short ? 4 : 10
  const results: Array<{ readonly slots: number, readonly steps: readonly Step[], readonly recovery: number }> = []
  for (const slots of [2, 3]) {
    const system = await startSystem({
      proxies: 3,
      bundle: `version = 1\n[services.rent-ledger]\nslots = ${slots}\n`,
      standIn: { slots, statementMs: STATEMENT_MS },
    })
    const caller = await connectCaller(system.proxies[0], DATABASE)
    await caller.query('CREATE TABLE contract (id int PRIMARY KEY, rent int)')
    await caller.query('INSERT INTO contract VALUES (1, 900)')
    await caller.end()
    await sleep(500)
    const capacity = 3 * slots * 1000 / (STATEMENT_MS + 1)
    const steps: Step[] = []
    for (const multiple of MULTIPLES) {
      steps.push(await step(system, multiple, capacity, seconds))
      print(`slots ${slots}: ${JSON.stringify(steps.at(-1))}`)
    }
    results.push({ slots, steps, recovery: await recoveryMs(system) })
    await system.close()
  }
  const steps = results.flatMap((result) => result.steps.slice(1))
  const goodputs = results.map((result) => {
    const all = result.steps.map(({ goodput }) => goodput)
    return Math.min(...all.slice(1)) / Math.max(...all)
  })
  return {
    name: 'overload',
    aims: [
      atLeast('goodput at 2 to 10 times capacity, of its peak', Math.min(...goodputs), MIN_GOODPUT),
      atMost('refusal p50 under overload', Math.max(...steps.map(({ refusalP50 }) => refusalP50)), MAX_REFUSAL_MS, ' ms'),
      atMost('refusal p99 under overload', Math.max(...steps.map(({ refusalP99 }) => refusalP99)), MAX_REFUSAL_MS, ' ms'),
      atLeast('a quiet caller beside a loud one is served', Math.min(...steps.map(({ quietShare }) => quietShare)), MIN_QUIET_SHARE),
      atMost('recovery after 10 times capacity', Math.max(...results.map(({ recovery }) => recovery)), MAX_RECOVERY_MS, ' ms'),
    ],
    data: results,
  }
}
