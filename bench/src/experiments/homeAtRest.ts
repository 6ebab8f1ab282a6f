import { setTimeout as sleep } from 'node:timers/promises'
import { startSystem } from '@briarpick/harness'
import { atMost, type Experiment, round } from '../parts/experiment.js'
import { cpuUtilization, readProcessUsage } from '../parts/processUsage.js'

const DATABASE_COUNTS = [1, 3, 6]
/** Wait before the measurement, in which V8 compiles the hot code. */
const WARM_UP_MS = 15_000
const MEASUREMENT_MS = 10_000
/** Databases per daemon at full scale: 860 databases on 590 daemons. */
const DATABASES_PER_DAEMON = 860 / 590
const MAX_CPU_CORES = 0.03
const MAX_RSS_MIB = 256

/** CPU and memory use of a proxy that is the home of idle databases: it probes targets and renews its lease. */
export const homeAtRest: Experiment = async ({ print }) => {
  const points: Array<{ readonly databases: number, readonly core: number, readonly rssMiB: number }> = []
  for (const count of DATABASE_COUNTS) {
    const databases = Array.from({ length: count }, (_, i) => `ledger-${i + 1}`)
    const system = await startSystem({ proxies: 1, databases, bundle: 'version = 1\n' })
    const { pid } = system.proxies[0].process
    await sleep(WARM_UP_MS)
    const before = readProcessUsage(pid)
    await sleep(MEASUREMENT_MS)
    const after = readProcessUsage(pid)
    points.push({ databases: count, core: round(cpuUtilization(before, after, MEASUREMENT_MS)), rssMiB: round(after.rssKiB / 1024) })
    print(JSON.stringify(points.at(-1)))
    await system.close()
  }
  const [first, last] = [points[0], points[points.length - 1]]
  const slope = (last.core - first.core) / (last.databases - first.databases)
  const coresAtFullScale = first.core + slope * (DATABASES_PER_DAEMON - 1)
  return {
    name: 'homeAtRest',
    aims: [
      atMost('processor of a daemon for control, at 1.46 databases', coresAtFullScale, MAX_CPU_CORES, ' core'),
      atMost('memory of a proxy at rest with 6 databases', last.rssMiB, MAX_RSS_MIB, ' MiB'),
    ],
    data: { points, slope },
  }
}
