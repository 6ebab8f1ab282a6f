import { setTimeout as sleep } from 'node:timers/promises'
import { startSystem, type System, type TargetProcess } from '@briarpick/harness'
import { runLoad } from '@briarpick/load'
import { atMost, type Experiment, quantile, round } from '../parts/experiment.js'
import { failoverGap } from '../failoverGap.js'

const DATABASE = 'ledger'
const MAX_GAP_P50_MS = 2500
const MAX_GAP_MS = 5000
const WRITE_HEAVY_MIX = { read: 0.3, staleRead: 0, write: 0.4, keyedWrite: 0.3 }
const LOAD_BEFORE_FAILURE_MS = 1500
const LOAD_AFTER_FAILURE_SECONDS = 9

type Failure = 'killed' | 'frozen' | 'cut'

const FAILURES: Readonly<Record<Failure, (target: TargetProcess) => void>> = {
  killed: (target) => target.process.kill('SIGKILL'),
  frozen: (target) => target.process.kill('SIGSTOP'),
  cut: (target) => target.faultProxy.set({ cut: true }),
}

async function measureGapMs (system: System, failure: Failure, seed: number): Promise<number> {
  const load = runLoad({
    proxies: system.proxies.map(({ callers }) => callers),
    databases: [DATABASE],
    ratePerSecond: 150,
    seconds: LOAD_BEFORE_FAILURE_MS / 1000 + LOAD_AFTER_FAILURE_SECONDS,
    seed,
    mix: WRITE_HEAVY_MIX,
    sessions: 10,
    maxAgeMs: 1000,
    connectionsPerProxy: 16,
  })
  await sleep(LOAD_BEFORE_FAILURE_MS)
  const { primary } = await system.view(DATABASE)
  const failedAt = performance.now()
  FAILURES[failure](system.target(primary ?? ''))
  const { operations, broken } = await load
  if (broken.length > 0) throw new Error(broken[0])
  return failoverGap(operations, DATABASE, failedAt)
}

/** Time without acknowledged writes when a primary is killed, frozen or cut off from the network. */
export const failoverGaps: Experiment = async ({ short, print }) => {
  const rounds = short ? 2 : 7
  const gaps: Record<Failure, number[]> = { killed: [], frozen: [], cut: [] }
  for (let seed = 1; seed <= rounds; seed++) {
    await Promise.all((Object.keys(FAILURES) as Failure[]).map(async (failure) => {
      const system = await startSystem({ proxies: 3, standIn: { lagMs: 50 }, bundle: 'version = 1\n', dataCentres: ['plateau', 'almadies', 'rufisque', 'thies'] })
      gaps[failure].push(await measureGapMs(system, failure, seed))
      await system.close()
    }))
    print(`round ${seed}: ${Object.entries(gaps).map(([failure, failureGaps]) => `${failure} ${Math.round(failureGaps.at(-1) ?? NaN)} ms`).join(', ')}`)
  }
  const allGaps = Object.values(gaps).flat()
  return {
    name: 'failoverGaps',
    aims: [
      atMost(`failover gap p50 over ${allGaps.length} losses`, round(quantile(allGaps, 0.5)), MAX_GAP_P50_MS, ' ms'),
      atMost(`failover gap max over ${allGaps.length} losses`, round(Math.max(...allGaps)), MAX_GAP_MS, ' ms'),
    ],
    data: gaps,
  }
}
