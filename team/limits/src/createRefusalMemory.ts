import { type TeamUse } from './createTeamUse.js'

/** Refusals of homes that an entry remembers, so that it refuses further operations itself until the time that each named. */
export interface RefusalMemory {
  /** Checks whether operations of the team on the database are refused for now. */
  check: (database: string, team: string) => RememberedRefusal | undefined
  /** Records a refusal by the home: the id of the request, and the retry delay that it named, in ms. */
  record: (database: string, team: string, refusal: RememberedRefusal) => void
  size: () => number
}

/** A refusal by a home. */
export interface RememberedRefusal {
  /** Id of the request that the home refused. */
  readonly id: string
  /** Time after which to retry, in ms. */
  readonly retryAfterMs: number
}

interface Refusal {
  readonly id: string
  readonly until: number
  /** Distance between two retries, in ms. */
  readonly stepMs: number
  lastRetryAt: number
}

/** Longest time for which a refusal is remembered, in ms: shares follow the demand within that time. */
export const MAX_REFUSAL_MS = 1000
/** Number of refusals from which those that have ended are removed. */
const MAX_REFUSALS = 1024

/** Options of a memory of refusals. */
export interface RefusalMemoryOptions {
  /** Monotonic time in ms. */
  readonly now: () => number
  /** Counts the refusals. */
  readonly use?: TeamUse
}

/** Creates an empty memory. */
export function createRefusalMemory (opts: RefusalMemoryOptions): RefusalMemory {
  const refusals = new Map<string, Map<string, Refusal>>()
  let size = 0

  function remove (database: string, team: string): void {
    const teams = refusals.get(database)
    if (teams?.delete(team) === true) size -= 1
    if (teams?.size === 0) refusals.delete(database)
  }

  function removeEnded (now: number): void {
    for (const [database, teams] of refusals) {
      for (const [team, { until }] of teams) if (until <= now) remove(database, team)
    }
  }

  return {
    check (database, team) {
      const refusal = refusals.get(database)?.get(team)
      if (refusal === undefined) return undefined
      const now = opts.now()
      if (now >= refusal.until) {
        remove(database, team)
        return undefined
      }
      const next = refusal.lastRetryAt + refusal.stepMs
      refusal.lastRetryAt = next - now > MAX_REFUSAL_MS ? refusal.until : next
      opts.use?.refuse(team)
      return { id: refusal.id, retryAfterMs: Math.ceil(refusal.lastRetryAt - now) }
    },
    record (database, team, { id, retryAfterMs }) {
      const now = opts.now()
      if (size >= MAX_REFUSALS) removeEnded(now)
      if (size >= MAX_REFUSALS) return
      const until = now + Math.min(MAX_REFUSAL_MS, retryAfterMs)
      const teams = refusals.get(database) ?? new Map<string, Refusal>()
      const known = teams.get(team)
      if (known !== undefined && known.until >= until) return
      if (known === undefined) size += 1
      refusals.set(database, teams.set(team, { id, until, stepMs: Math.max(1, retryAfterMs), lastRetryAt: until }))
    },
    size: () => size,
  }
}
