import { type StatementRequest } from '@briarpick/types'
import { createLogger } from '@briarpick/logs'
import { type Metrics } from '@briarpick/metrics'

/**
 * What became of a request that asked for a slot: started on time or late, refused on arrival, refused after it waited for its longest
 * time, or given up by its caller.
 */
export type SlotResult = 'served' | 'late' | 'refused' | 'expired' | 'left'

/** Inputs of a refusal; times in ms. */
export interface RefusalInputs {
  readonly expectedWaitMs: number
  readonly remainingMs: number
  readonly slackMs: number
  readonly costMs: number
  /** Statements in flight on the targets that can serve it. */
  readonly slots: number
  /** Waiting requests of all teams. */
  readonly waiting: number
  readonly retryAfterMs: number
}

/** Counts the results of requests by priority and class of the team, and logs refusals with their inputs. */
export interface ContentionRecorder {
  /** `isLoud` is true if the team has more than its fair share of the waiting work. */
  record: (result: SlotResult, request: StatementRequest, isLoud: boolean) => void
  logRefusal: (request: StatementRequest, isLoud: boolean, inputs: RefusalInputs) => void
}

const log = createLogger('home')

/** Creates a recorder for the home of a database. */
export function createContentionRecorder (opts: { readonly database: string, readonly metrics: Metrics }): ContentionRecorder {
  return {
    record (result, { priority, team }, isLoud) {
      opts.metrics.count('requests', `${result}_priority_${priority}_${classOf(team, isLoud)}`)
    },
    logRefusal ({ id, team, priority }, isLoud, inputs) {
      const rounded = Object.fromEntries(Object.entries(inputs).map(([name, value]) => [name, Math.round(value)]))
      log('requestRefused', { id, database: opts.database, reason: `priority_${priority}`, team, class: classOf(team, isLoud), ...rounded })
    },
  }
}

/** Class of a team: `loud` with more than its fair share of the waiting work, otherwise `quiet`; `none` for callers without a team. */
function classOf (team: string | null, isLoud: boolean): 'none' | 'loud' | 'quiet' {
  if (team === null) return 'none'
  return isLoud ? 'loud' : 'quiet'
}
