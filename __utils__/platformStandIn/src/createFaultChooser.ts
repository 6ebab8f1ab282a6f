import { type ChooseFault, type StandInFault } from './standInRun.js'

/** Commands that set up or end a session or a transaction: they get faults more often, as they are repeated on another connection. */
const SET_UP_VERBS: ReadonlySet<string> = new Set(['SET', 'PREPARE', 'DISCARD', 'BEGIN', 'ROLLBACK'])
/** Commands by which instances are monitored. */
const MONITOR_VERBS: ReadonlySet<string> = new Set(['STATUS', 'STEPDOWN'])
const SET_UP_SHARE = 0.2
const OTHER_SHARE = 0.04
/** Shortest and longest delay, in ms: beyond the time limit of a statement. */
const MIN_DELAY_MS = 50
const MAX_DELAY_MS = 2600

const FAULTS: ReadonlyArray<(delayMs: number) => StandInFault> = [
  (delayMs) => ({ delayMs }),
  (answerDelayMs) => ({ answerDelayMs }),
  () => ({ answer: 'lost' }),
  () => ({ answer: 'cut' }),
  () => ({ refusal: 'BUSY' }),
]

/** Creates a source of faults of single commands: late runs, late, lost and cut answers, and refusals. */
export function createFaultChooser (random: () => number): ChooseFault {
  return (verb) => {
    if (MONITOR_VERBS.has(verb) || random() >= (SET_UP_VERBS.has(verb) ? SET_UP_SHARE : OTHER_SHARE)) return undefined
    const delayMs = MIN_DELAY_MS + random() * (MAX_DELAY_MS - MIN_DELAY_MS)
    return FAULTS[Math.floor(random() * FAULTS.length)](delayMs)
  }
}
