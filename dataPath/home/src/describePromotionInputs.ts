import { formatLogPosition, type LogPosition } from '@briarpick/types'
import { type AckHistory } from './createAckHistory.js'
import { type GroupTarget, type TargetGroup } from './createTargetGroup.js'

/** The state of a home from which a promotion is decided; times are in ms on its clock. */
export interface PromotionState {
  readonly group: TargetGroup
  readonly history: AckHistory
  readonly startedAt: number
  readonly now: number
}

/** Log fields that say what proves that an heir holds every acknowledged write: positions as `TERM.OFFSET`, null if not known. */
export function describePromotionInputs (
  { group, history, startedAt, now }: PromotionState
): Readonly<Record<string, string | number | null>> {
  return {
    acknowledged: describePosition(history.isFloorKnown() ? history.latest() : undefined),
    provenAcknowledged: formatLogPosition(history.provenAcknowledged()),
    acknowledgedBeforeLoss: describePosition(history.acknowledgedBeforeLoss()),
    sinceAcknowledgedMs: Math.round(Math.min(now - history.lastRecordedAt(), now - startedAt)),
    received: [...group.all()].map((target) => describeCopy(target, now)).join(' '),
  }
}

function describePosition (position: LogPosition | undefined): string | null {
  return position === undefined ? null : formatLogPosition(position)
}

/** Received position of a target, its reachability and the age of the status that says so. */
function describeCopy ({ member: { instance }, prober }: GroupTarget, now: number): string {
  const { received, reachability, statusRequestedAt } = prober.observation()
  const age = statusRequestedAt === -Infinity ? 'unknown' : `${Math.round(now - statusRequestedAt)}ms`
  return `${instance}=${formatLogPosition(received)},${reachability},${age}`
}
