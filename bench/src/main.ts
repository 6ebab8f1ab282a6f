import fs from 'node:fs'
import path from 'node:path'
import { parseArgs } from 'node:util'
import { type AimResult, type Experiment } from './parts/experiment.js'
import { controlScale } from './experiments/controlScale.js'
import { failoverGaps } from './experiments/failoverGaps.js'
import { falsePromotions } from './experiments/falsePromotions.js'
import { homeAtRest } from './experiments/homeAtRest.js'
import { overload } from './experiments/overload.js'
import { proxyCost } from './experiments/proxyCost.js'
import { queueDecision } from './experiments/queueDecision.js'
import { replicaShareOverLag } from './experiments/replicaShareOverLag.js'
import { targetChoice } from './experiments/targetChoice.js'
import { teamLimits } from './experiments/teamLimits.js'

const EXPERIMENTS: Readonly<Record<string, Experiment>> = {
  failoverGaps,
  replicaShareOverLag,
  overload,
  proxyCost,
  homeAtRest,
  controlScale,
  falsePromotions,
  queueDecision,
  targetChoice,
  teamLimits,
}
const RESULTS_FOLDER = path.resolve(import.meta.dirname, '../results')
const RESULTS_TABLE = path.resolve(import.meta.dirname, '../RESULTS.md')

const { values, positionals } = parseArgs({ options: { long: { type: 'boolean', default: false } }, allowPositionals: true })
const print = (line: string) => { process.stdout.write(line + '\n') }
const names = positionals.length > 0 ? positionals : Object.keys(EXPERIMENTS)
const aims: Array<readonly [string, AimResult]> = []

for (const name of names) {
  const experiment = EXPERIMENTS[name]
  if (experiment === undefined) throw new Error(`unknown experiment ${name}; available experiments: ${Object.keys(EXPERIMENTS).join(', ')}`)
  print(`== ${name}`)
  const result = await experiment({ short: !values.long, print })
  aims.push(...result.aims.map((aim) => [name, aim] as const))
  if (values.long) saveResult(name, result)
}

/** Writes the result of a long run to its JSON file and appends a line per aim to the results table. */
function saveResult (name: string, result: { readonly aims: readonly AimResult[], readonly data: unknown }): void {
  const date = new Date().toISOString().slice(0, 16)
  fs.mkdirSync(RESULTS_FOLDER, { recursive: true })
  fs.writeFileSync(path.join(RESULTS_FOLDER, `${name}.json`), JSON.stringify({ date, ...result }, null, 2) + '\n')
  const lines = result.aims.map(({ aim, limit, measured, held }) => `| ${date} | ${name} | ${aim} | ${limit} | ${measured} | ${held ? 'held' : 'missed'} |\n`)
  fs.appendFileSync(RESULTS_TABLE, lines.join(''))
}

print('')
for (const [name, { aim, limit, measured, held }] of aims) print(`${held ? 'held  ' : 'MISSED'}  ${name}: ${aim}: ${measured} (${limit})`)
