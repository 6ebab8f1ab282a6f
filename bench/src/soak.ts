import { parseArgs } from 'node:util'
import { runPlatformSoak } from './platformSoak/runPlatformSoak.js'
import { runSoak } from './runSoak.js'

const { values } = parseArgs({
  options: {
    product: { type: 'string', default: 'postgresql' },
    seed: { type: 'string', default: '1' },
    minutes: { type: 'string', default: '5' },
    subnet: { type: 'string', default: '98' },
    logs: { type: 'string' },
  },
})
const MAX_VIOLATIONS_PRINTED = 20
const seed = Number(values.seed)
const seconds = Number(values.minutes) * 60
const print = (line: string) => process.stdout.write(line + '\n')

/** Runs a soak of one product; resolves with its violations. */
const SOAKS: Readonly<Record<string, () => Promise<readonly string[]>>> = {
  async postgresql () {
    const { faults, replicaShare, summary, broken, folder } = await runSoak({
      seed, seconds, proxies: 9, databases: 3, ratePerSecond: 150, maxPauseMs: 3000, print, logs: values.logs,
    })
    print(JSON.stringify({ seed, faults, replicaShare, ...summary }, null, 2))
    if (values.logs !== undefined) print(`logs: ${folder}`)
    return broken
  },
  async platform () {
    const subnet = Number(values.subnet)
    const { trace: _trace, violations, ...result } = await runPlatformSoak({ seed, seconds, subnet, maxPauseMs: 3000, print })
    print(JSON.stringify(result))
    return violations
  },
}

if (!Object.hasOwn(SOAKS, values.product)) throw new Error(`unknown product ${values.product}; available: ${Object.keys(SOAKS).join(', ')}`)
const violations = await SOAKS[values.product]()
print(`seed ${seed}: ${violations.length} guarantee violations`)
for (const line of violations.slice(0, MAX_VIOLATIONS_PRINTED)) print(`  ${line}`)
process.exitCode = violations.length === 0 ? 0 : 1
