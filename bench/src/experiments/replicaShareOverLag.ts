import { startSystem } from '@briarpick/harness'
import { DEFAULT_MIX, runLoad } from '@briarpick/load'
import { atLeast, type AimResult, type Experiment, round } from '../parts/experiment.js'
import { readCounters, replicaShare } from '../replicaShare.js'

const REPLICATION_LAGS_MS = [50, 200, 500]
const MIN_REPLICA_SHARE = 0.95
const DATABASES = ['ledger-1', 'ledger-2', 'ledger-3']

/** Fraction of reads that replicas serve at several replication lags, with sessions that read their own writes. */
export const replicaShareOverLag: Experiment = async ({ short, print }) => {
  const seconds = short ? 6 : 20
  const rounds = short ? 1 : 5
  const aims: AimResult[] = []
  const data: unknown[] = []
  for (const lagMs of REPLICATION_LAGS_MS) {
    const shares: number[] = []
    for (let seed = 1; seed <= rounds; seed++) {
      const system = await startSystem({ proxies: 9, databases: DATABASES, standIn: { lagMs }, bundle: 'version = 1\n' })
      const { broken } = await runLoad({
        proxies: system.proxies.map(({ callers }) => callers),
        databases: DATABASES,
        ratePerSecond: 300,
        seconds,
        seed,
        mix: DEFAULT_MIX,
        sessions: 20,
        maxAgeMs: 2000,
        connectionsPerProxy: 8,
      })
      if (broken.length > 0) throw new Error(broken[0])
      shares.push(replicaShare(await readCounters(system.proxies.map(({ address }) => address))))
      await system.close()
    }
    print(`lag ${lagMs} ms: ${shares.map(round).join(' ')}`)
    aims.push(atLeast(`replica share at ${lagMs} ms of lag`, Math.min(...shares), MIN_REPLICA_SHARE))
    data.push({ lagMs, shares })
  }
  return { name: 'replicaShareOverLag', aims, data }
}
