import { type ControlCommand, type DatabaseView, type TargetReport } from '@briarpick/types'
import { commandStep, type DatabaseStep, type RemovalInputs, type StepInput } from './databaseStep.js'

/** Time after which an unreachable target is removed from the view, in ms. */
export const TARGET_REMOVAL_MS = 30_000

/** Time without a response after which a target that has said that it leaves is removed, in ms: longer than a reset of connections. */
const WITHDRAWN_REMOVAL_MS = 500
/** Time within which a running target announces itself to the leader, in ms: control daemons pass unchanged announcements on every 5 s. */
const ANNOUNCED_WITHIN_MS = 7000

/**
 * Removes a target that has left, or that neither its home nor this leader has heard for `TARGET_REMOVAL_MS`. One that its home does not
 * reach but that goes on announcing itself is running, and may confirm commits of the primary.
 */
export function decideRemovalStep (input: StepInput): DatabaseStep | undefined {
  const { view, report } = input
  if (view.state !== 'open') return undefined
  // The report may be of before a removal.
  const targets = report?.targets.filter(({ instance }) => view.members.some((member) => member.instance === instance)) ?? []
  const left = targets.find((target) => hasLeft(target, input))
  if (left !== undefined) return removalStep(view.database, left, { hasWithdrawn: true, unannouncedMs: unannouncedMs(input, left) })
  const isUnannounced = (target: TargetReport) => (unannouncedMs(input, target) ?? Infinity) > TARGET_REMOVAL_MS
  const removable = targets.find((target) => isRemovable(target, view) && isUnannounced(target))
  return removable === undefined ? undefined : removalStep(view.database, removable, { unannouncedMs: unannouncedMs(input, removable) })
}

/**
 * True if a replica has said that it leaves, and has ended: nothing listens at its address, or it neither answers there nor announces
 * itself. A withdrawal alone proves nothing: it may be that of an earlier process of the same name, handled late.
 */
function hasLeft (target: TargetReport, input: StepInput): boolean {
  const { instance, reachability, silentMs } = target
  if (instance === input.view.primary || input.hasWithdrawn?.(instance) !== true || silentMs <= WITHDRAWN_REMOVAL_MS) return false
  return reachability === 'refused' || (reachability === 'silent' && (unannouncedMs(input, target) ?? 0) > ANNOUNCED_WITHIN_MS)
}

/**
 * Time for which a target can't have announced itself, in ms; an earlier leader may have heard it until this one began to lead.
 * Undefined if announcements are not counted.
 */
function unannouncedMs ({ now, announcedAt, leaderSince }: StepInput, { instance }: TargetReport): number | undefined {
  if (announcedAt === undefined) return undefined
  return Math.round(now - Math.max(announcedAt(instance), leaderSince ?? -Infinity))
}

/** A step that removes an unreachable target from the view. */
export function removalStep (
  database: string,
  { instance, reachability, silentMs }: TargetReport,
  { hasWithdrawn = false, unannouncedMs }: Partial<Pick<RemovalInputs, 'hasWithdrawn' | 'unannouncedMs'>> = {}
): DatabaseStep {
  const removal = { instance, reachability, silentMs, hasWithdrawn, ...unannouncedMs === undefined ? {} : { unannouncedMs } }
  const command: ControlCommand = { kind: 'removeTarget', database, instance, ...hasWithdrawn ? { hasLeft: true } : {} }
  return { ...commandStep(command), removal }
}

/** True if a target that is neither primary nor in sync has been unreachable for longer than `TARGET_REMOVAL_MS`. */
export function isRemovable (target: TargetReport, view: DatabaseView): boolean {
  if (target.instance === view.primary || view.inSync.includes(target.instance)) return false
  return target.reachability !== 'ok' && target.silentMs > TARGET_REMOVAL_MS
}
