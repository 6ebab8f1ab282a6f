import { setTimeout as sleep } from 'node:timers/promises'
import { startSystem } from '@briarpick/harness'
import { atMost, type Experiment, round } from '../parts/experiment.js'
import { cpuUtilization, readProcessUsage } from '../parts/processUsage.js'

const SIZES = [1, 3, 6]
/** Time in which the engine compiles what runs often. */
const WARM_UP_MS = 15_000
const WINDOW_MS = 10_000
/** Databases for each daemon at the aimed size: 860 over 590. */
const DATABASES_PER_DAEMON = 860 / 590
const MAX_CORE = 0.03
const MAX_RSS_MIB = 256

/** What a proxy spends as the home of databases that nobody uses: questions to targets and renewals. */
export const homeAtRest: Experiment = async ({ print }) => {
  const points: Array<{ readonly databases: number, readonly core: number, readonly rssMiB: number }> = []
  for (const size of SIZES) {
    const databases = Array.from({ length: size }, (_, i) => `ledger-${i + 1}`)
    const system = await startSystem({ proxies: 1, databases, bundle: 'version = 1\n' })
    const { pid } = system.proxies[0].process
    await sleep(WARM_UP_MS)
    const before = readProcessUsage(pid)
    await sleep(WINDOW_MS)
    const after = readProcessUsage(pid)
    points.push({ databases: size, core: round(cpuUtilization(before, after, WINDOW_MS)), rssMiB: round(after.rssKiB / 1024) })
    print(JSON.stringify(points.at(-1)))
    await system.close()
  }
  const [first, last] = [points[0], points[points.length - 1]]
  const slope = (last.core - first.core) / (last.databases - first.databases)
  const atAim = first.core + slope * (DATABASES_PER_DAEMON - 1)
  return {
    name: 'homeAtRest',
    aims: [
      atMost('processor of a daemon for control, at 1.46 databases', atAim, MAX_CORE, ' core'),
      atMost('memory of a proxy at rest with 6 databases', last.rssMiB, MAX_RSS_MIB, ' MiB'),
    ],
    data: { points, slope },
  }
}
