import { setTimeout as sleep } from 'node:timers/promises'
import { startSystem, type System, type TargetProcess } from '@briarpick/harness'
import { runLoad } from '@briarpick/load'
import { atMost, type Experiment, quantile, round } from '../parts/experiment.js'
import { failoverGap } from '../failoverGap.js'

const DATABASE = 'ledger'
const MAX_P50_MS = 2500
const MAX_MS = 5000
const WRITE_MIX = { read: 0.3, staleRead: 0, write: 0.4, keyedWrite: 0.3 }
const BEFORE_MS = 1500
const AFTER_S = 9

type Loss = 'killed' | 'frozen' | 'cut'

const LOSSES: Readonly<Record<Loss, (target: TargetProcess) => void>> = {
  killed: (target) => target.process.kill('SIGKILL'),
  frozen: (target) => target.process.kill('SIGSTOP'),
  cut: (target) => target.faultProxy.set({ cut: true }),
}

async function measure (system: System, loss: Loss, seed: number): Promise<number> {
  const load = runLoad({
    proxies: system.proxies.map(({ callers }) => callers),
    databases: [DATABASE],
    ratePerSecond: 150,
    seconds: BEFORE_MS / 1000 + AFTER_S,
    seed,
    mix: WRITE_MIX,
    sessions: 10,
    maxAgeMs: 1000,
    connectionsPerProxy: 16,
  })
  await sleep(BEFORE_MS)
  const { primary } = await system.view(DATABASE)
  const lostAt = performance.now()
  LOSSES[loss](system.target(primary ?? ''))
  const { operations, broken } = await load
  if (broken.length > 0) throw new Error(broken[0])
  return failoverGap(operations, DATABASE, lostAt)
}

/** Time without writes around the loss of a primary: killed, frozen and cut off. */
export const failoverGaps: Experiment = async ({ short, print }) => {
  const rounds = short ? 2 : 7
  const gaps: Record<Loss, number[]> = { killed: [], frozen: [], cut: [] }
  for (let seed = 1; seed <= rounds; seed++) {
    await Promise.all((Object.keys(LOSSES) as Loss[]).map(async (loss) => {
      const system = await startSystem({ proxies: 3, standIn: { lagMs: 50 }, bundle: 'version = 1\n', dataCentres: ['plateau', 'almadies', 'rufisque', 'thies'] })
      gaps[loss].push(await measure(system, loss, seed))
      await system.close()
    }))
    print(`round ${seed}: ${Object.entries(gaps).map(([loss, list]) => `${loss} ${Math.round(list.at(-1) ?? NaN)} ms`).join(', ')}`)
  }
  const all = Object.values(gaps).flat()
  return {
    name: 'failoverGaps',
    aims: [
      atMost(`failover gap p50 over ${all.length} losses`, round(quantile(all, 0.5)), MAX_P50_MS, ' ms'),
      atMost(`failover gap max over ${all.length} losses`, round(Math.max(...all)), MAX_MS, ' ms'),
    ],
    data: gaps,
  }
}
