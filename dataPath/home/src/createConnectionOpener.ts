import { type StatementRequest } from '@briarpick/types'
import { chooseReadTarget } from './chooseReadTarget.js'
import { type GroupTarget } from './createTargetGroup.js'
import { type ConnectionNeed, selectUnserved } from './selectUnserved.js'
import { canWrite, freshnessRequirement, isReadRequest, type StatementHomeContext } from './statementHomeContext.js'

/** Opens connections for the teams whose requests cannot start without one; has no effect in a deployment without teams. */
export interface ConnectionOpener {
  /** Notes a request that could not start in the current pass over the queue. */
  note: (request: StatementRequest, excluded: ReadonlySet<string>) => void
  /** Opens what the noted requests lack, at the end of the pass. */
  openNoted: () => void
  /** Opens a connection on a replica for a read that runs on the primary only because no replica has a connection of its team. */
  openOnReplica: (request: StatementRequest, excluded: ReadonlySet<string>) => void
}

interface WaitingRequest extends ConnectionNeed {
  readonly request: StatementRequest
  readonly excluded: ReadonlySet<string>
}

/** Most waiting requests for which one pass over the queue opens connections: as many as targets can usually start at once. */
const MAX_LACKING = 16

/** Creates an opener for the targets of a home. */
export function createConnectionOpener (context: StatementHomeContext): ConnectionOpener {
  const { group } = context
  const hasTeams = () => context.opts.limits().hasTeams
  /** Requests that the current pass over the queue could not start. */
  const lacking: WaitingRequest[] = []

  function openingFor ({ team, needsPrimary }: ConnectionNeed): number {
    return needsPrimary ? group.primary()?.pool.opening(team) ?? 0 : group.opening(team)
  }

  /** The target on which a request would run if its team had a connection; undefined if it cannot start for another reason. */
  function targetToConnect (request: StatementRequest, excluded: ReadonlySet<string>): GroupTarget | undefined {
    const { team } = request
    if (!context.accepts(request)) return undefined
    if (!isReadRequest(request)) return canWrite(context) ? group.primary() : undefined
    const requirement = freshnessRequirement(context, request, excluded)
    if (requirement === undefined) return undefined
    const candidates = group.readCandidates(team).flatMap((candidate) => {
      const pool = group.get(candidate.instance)?.pool
      return pool?.canOpen(team) === true ? [{ ...candidate, isFree: pool.hasFreeSlot(), canAcquire: true }] : []
    })
    const chosen = chooseReadTarget(candidates, requirement)
    return chosen === undefined ? undefined : group.get(chosen.instance)
  }

  return {
    note (request, excluded) {
      if (!hasTeams() || lacking.length >= MAX_LACKING || !group.canOpen()) return
      lacking.push({ request, excluded, team: request.team, needsPrimary: !isReadRequest(request) })
    },
    openNoted () {
      if (lacking.length === 0) return
      for (const { request, excluded } of selectUnserved(lacking.splice(0), openingFor)) {
        targetToConnect(request, excluded)?.pool.open(request.team)
      }
    },
    openOnReplica (request, excluded) {
      if (!hasTeams() || group.opening(request.team) > 0 || !group.canOpen()) return
      const target = targetToConnect(request, excluded)
      if (target !== undefined && target !== group.primary()) target.pool.open(request.team)
    },
  }
}
