// Runs a case: builds the small deployment, plays the case, writes its record.txt, and exits with 1 if the rule was broken, 0 if it held.
import fs from 'node:fs'
import { createDatabase } from './database.js'
import { startPlatform } from './platform.js'
import { findSubnet, putConfig, startSystem } from './system.js'

const SERVICE = 'ledger1a'
/** Time limit of a script, in ms, with some time to end the processes. */
const LIMIT_MS = 112_000

/**
 * Plays a case and writes what was sent, answered and run to `recordFile`, or to the file that RECORD names. `play` gets the running
 * deployment, and resolves with the breaks of the rule that it saw, one line each. `hasTrouble` is false with TROUBLE=0.
 */
export async function runCase ({ recordFile, play, system: systemOptions, database: databaseOptions }) {
  const startedAt = performance.now()
  const lines = []
  const record = (text) => lines.push(`${((performance.now() - startedAt) / 1000).toFixed(3)} ${text}`)
  const trouble = process.env.TROUBLE ?? 'all'
  record(`TROUBLE=${trouble}`)
  const parts = []
  const timer = setTimeout(() => finish(2, ['the time limit was reached']), LIMIT_MS)
  let isFinished = false

  async function finish (code, findings) {
    if (isFinished) return
    isFinished = true
    clearTimeout(timer)
    for (const finding of findings) record(`${code === 1 ? 'BROKEN' : 'NOT RUN'}: ${finding}`)
    record(`exit ${code}`)
    for (const part of parts.reverse()) await part.close()
    try {
      fs.writeFileSync(process.env.RECORD ?? recordFile, lines.join('\n') + '\n')
    } catch (err) {
      console.log(String(err))
      process.exit(2)
    }
    for (const finding of findings.slice(0, 10)) console.log(finding)
    console.log(`exit ${code} after ${Math.round((performance.now() - startedAt) / 1000)} s`)
    process.exit(code)
  }
  for (const name of ['SIGINT', 'SIGTERM']) process.on(name, () => finish(2, [name]))

  try {
    const subnet = await findSubnet()
    const system = await startSystem({ subnet, record, ...systemOptions })
    parts.push(system)
    const options = databaseOptions?.(system) ?? {}
    const database = createDatabase({ service: SERVICE, subnet, record, controls: system.controls, ...options })
    parts.push(database)
    const platform = await startPlatform({ address: system.cloud, record, promote: async (_service, id) => await database.promote(id) })
    parts.push(platform)
    await putConfig(system, 1, SERVICE)
    await database.start()
    await system.ready()
    const breaks = await play({ system, database, platform, record, service: SERVICE, hasTrouble: trouble !== '0', trouble })
    await finish(breaks.length > 0 ? 1 : 0, breaks)
  } catch (err) {
    await finish(2, [err.stack])
  }
}

/** Acknowledged writes that the log of a promoted instance lacks: the check of LOST. */
export function findLostCommits (promotion, outcomes) {
  const kept = new Set(promotion.log.flatMap(({ writes }) => writes.map(({ id }) => id)))
  return outcomes.filter(({ id, outcome, at }) => outcome === 'done' && at <= promotion.at && !kept.has(id))
}
