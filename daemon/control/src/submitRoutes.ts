import { type RouteTableDocument, type SubmitRoutesResult } from '@briarpick/types'
import { createLogger } from '@briarpick/logs'
import { type ControlMember } from './startControlMember.js'
import { notLeaderError } from './createControlNode.js'

const log = createLogger('control')

/** Routes as sent between control nodes. */
export interface PackedRoutes {
  readonly packed: string
}

/** Submits routes to the log of a leader; rejects with ERR_BRIARPICK_NOT_LEADER if it no longer leads. */
export async function submitRoutes (
  { node, duties }: Pick<ControlMember, 'node' | 'duties'>,
  routes: RouteTableDocument,
  packed: string
): Promise<SubmitRoutesResult> {
  const { version } = routes.table
  const currentVersion = node.state().routes?.table.version ?? -1
  if (version <= currentVersion) return { kind: 'superseded', version, holdingVersion: currentVersion }
  const outcome = await node.propose({ kind: 'submitRoutes', packed })
  if (outcome.kind !== 'routes') throw notLeaderError(node.leaderAddress())
  log('routes', { version, verdict: outcome.verdict.kind, routes: routes.table.routes.length })
  duties.pokeAll()
  return outcome.verdict
}
