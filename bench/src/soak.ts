import { parseArgs } from 'node:util'
import { runSoak } from './runSoak.js'

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    minutes: { type: 'string', default: '5' },
    logs: { type: 'string' },
  },
})
const print = (line: string) => process.stdout.write(line + '\n')

const result = await runSoak({
  seed: Number(values.seed),
  seconds: Number(values.minutes) * 60,
  proxies: 9,
  databases: 3,
  ratePerSecond: 150,
  maxPauseMs: 3000,
  print,
  logs: values.logs,
})
print(JSON.stringify({ seed: result.seed, faults: result.faults, replicaShare: result.replicaShare, ...result.summary }, null, 2))
print(`seed ${result.seed}: ${result.faults} faults, ${result.broken.length} guarantee violations`)
for (const line of result.broken.slice(0, 20)) print(`  ${line}`)
if (values.logs !== undefined) print(`logs: ${result.folder}`)
process.exitCode = result.broken.length === 0 ? 0 : 1
