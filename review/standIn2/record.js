// The record of a run, in the folder of the case, and its exit.
import fs from 'node:fs'
import path from 'node:path'

/** False for the run without the disruption. */
export const hasTrouble = process.env.TROUBLE !== '0'

export function createRecord (folder, name) {
  const file = path.join(folder, name)
  const startedAt = performance.now()
  fs.writeFileSync(file, `trouble: ${hasTrouble ? 'yes' : 'no'}\n`)
  return (line) => fs.appendFileSync(file, `${((performance.now() - startedAt) / 1000).toFixed(3).padStart(8)} ${line}\n`)
}

/** Runs a case: `play` resolves with what broke the rule, empty if nothing did. Exits with 1, 0, or 2 if the case could not run. */
export async function runCase (record, play) {
  let code = 2
  try {
    const broken = await play()
    for (const line of broken) record(`BROKEN: ${line}`)
    record(broken.length > 0 ? 'the rule was broken' : 'the rule held')
    code = broken.length > 0 ? 1 : 0
  } catch (err) {
    record(`the case could not run: ${err.stack}`)
  }
  process.exit(code)
}
