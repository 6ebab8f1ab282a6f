/** Prints the days of journal entries that earned less than a floor: `npm run short-days -- [--floor 0.5] [FILE…]`. */
import fs from 'node:fs'
import path from 'node:path'
import { parseArgs } from 'node:util'
import { findShortDays } from './findShortDays.js'

const JOURNAL = path.resolve(import.meta.dirname, '../../journal')
/** The highest floor of the standard days. */
const DEFAULT_FLOOR = '0.5'

const { values, positionals } = parseArgs({ options: { floor: { type: 'string', default: DEFAULT_FLOOR } }, allowPositionals: true })
const files = positionals.length > 0
  ? positionals
  : fs.readdirSync(JOURNAL).filter((name) => name.endsWith('.json')).sort().map((name) => path.join(JOURNAL, name))
const days = files.flatMap((file) => findShortDays(fs.readFileSync(file, 'utf8'), Number(values.floor)))
for (const { entry, site, day, whole, leastKind, leastDataCentre, why } of days) {
  const figures = [whole, leastKind, leastDataCentre].map((value) => value.toFixed(3)).join('  ')
  process.stdout.write(`${entry}  ${figures}  ${site}  ${day}  ${why}\n`)
}
process.stdout.write(`${days.length} days below ${values.floor} in ${files.length} entries (whole day, least kind of request, least data centre)\n`)
