import { type DatabaseView, hasReached, type LogPosition } from '@briarpick/types'
import { chooseInSync, type InSyncCandidate, mostAdvancedOf } from '@briarpick/failover'
import { createLogger } from '@briarpick/logs'
import { groupStatements, readGroupStatus } from '@briarpick/pg-target'
import { positionOf, type Target, type TargetSet } from './createTargetSet.js'

/**
 * Availability of the replicas for the in-sync set. `available`: there are enough; `expected`: there are too few, but enough are
 * expected shortly; `missing`: there are too few for an unknown time.
 */
export type ReplicaAvailability = 'available' | 'expected' | 'missing'

/** Options of a group reconciler. */
export interface GroupReconcilerOptions {
  readonly database: string
  readonly targets: TargetSet
  readonly view: () => DatabaseView
  readonly isActive: () => boolean
  readonly wantedInSync: () => number
  /** Highest position acknowledged so far, under any in-sync set. */
  readonly acknowledged: () => LogPosition
  readonly isFloorKnown: () => boolean
  readonly onReportChange: () => void
  /** Called with the new primary's position once it has taken the new term. */
  readonly onPromoted: (position: LogPosition) => void
  /** Called when the set of required replicas has changed. */
  readonly onRequirementChange: () => void
}

/**
 * Applies control's decisions to the targets of a group: promotes the primary, points replicas at it, and proposes the
 * in-sync set.
 */
export interface GroupReconciler {
  /**
   * Compares the targets with the view and issues the statements that are due; called when the view or a target's status
   * changed.
   */
  reconcile: () => void
  /** Replicas that must have a write before it is acknowledged; undefined while no write may be acknowledged. */
  requiredReplicas: () => readonly string[] | undefined
  /** Whether enough replicas are available to make a write durable. */
  replicaAvailability: () => ReplicaAvailability
  /** The target that this home promoted in the view's term, or null. */
  promoted: () => string | null
  /** Replicas that control should make the in-sync set, or null. Once requested, they stay required until control has done so. */
  requestInSync: () => readonly string[] | null
  close: () => void
}

/** Minimum time between two follow statements to the same target, in ms. */
const FOLLOW_INTERVAL_MS = 250
/** Minimum time between two notifications of a report change, in ms. */
const REPORT_INTERVAL_MS = 40
/** Time within which replicas usually follow a new primary, in ms. */
const REPLICA_RECOVERY_MS = 2000
const log = createLogger('home:group')

/** Creates a reconciler for the targets of one database group. */
export function createGroupReconciler (opts: GroupReconcilerOptions): GroupReconciler {
  const { targets } = opts
  const followSentAt = new Map<string, number>()
  let promoting = false
  let promoted: { readonly term: number, readonly instance: string } | undefined
  let proposed: readonly string[] = []
  let requested: { readonly term: number, readonly instances: readonly string[] } | undefined
  let missingSince = performance.now()
  let notifiedAt = -Infinity
  let closed = false

  function candidates (): readonly InSyncCandidate[] {
    return opts.view().members
      .filter((member) => member.instance !== opts.view().primary)
      .map((member) => ({
        instance: member.instance,
        usable: targets.isUsableReplica(member.instance),
        position: positionOf(targets.get(member.instance)),
      }))
  }

  function reconcile (): void {
    if (closed || !opts.isActive()) return
    const view = opts.view()
    if (view.state !== 'open') missingSince = performance.now()
    if (view.state === 'promoting') promote(view).catch((err) => log('promotionFailed', { database: opts.database, reason: String(err) }))
    if (view.state === 'open') {
      proposeInSync(view)
      repointReplicas(view)
      reportPrimaryLoss(view)
    }
  }

  /**
   * Acknowledgements wait for a proposed replica from the moment it is chosen; it is requested for the in-sync set once
   * it has every acknowledged write.
   */
  function proposeInSync (view: DatabaseView): void {
    if (isRequestPending(view)) {
      notifyReportChange()
      return
    }
    const chosen = chooseInSync(candidates(), view.inSync, opts.wantedInSync())
    const next = chosen.length < opts.wantedInSync() ? [] : chosen
    if (next.join() === proposed.join()) {
      if (canRequest()) notifyReportChange()
      return
    }
    if (next.length === 0) missingSince = performance.now()
    proposed = next
    opts.onRequirementChange()
  }

  /** True while control may still apply the last request, however old it is; meanwhile the requested replicas stay required. */
  function isRequestPending (view: DatabaseView): boolean {
    return requested?.term === view.term && requested.instances.join() !== view.inSync.join()
  }

  function canRequest (): boolean {
    const view = opts.view()
    if (view.state !== 'open' || proposed.length === 0 || proposed.join() === view.inSync.join() || !opts.isFloorKnown()) return false
    return proposed.every(hasAllAcknowledged)
  }

  function requestInSync (): readonly string[] | null {
    if (!canRequest()) return null
    requested = { term: opts.view().term, instances: proposed }
    return proposed
  }

  function hasAllAcknowledged (instance: string): boolean {
    return hasReached(positionOf(targets.get(instance)), opts.acknowledged())
  }

  function notifyReportChange (): void {
    if (performance.now() - notifiedAt < REPORT_INTERVAL_MS) return
    notifiedAt = performance.now()
    opts.onReportChange()
  }

  function reportPrimaryLoss (view: DatabaseView): void {
    const primary = view.primary === null ? undefined : targets.get(view.primary)
    if (primary === undefined) return
    const { reachability, role, term } = primary.monitor.observation()
    if (reachability !== 'ok' || role !== 'primary' || term < view.term) notifyReportChange()
  }

  function repointReplicas (view: DatabaseView): void {
    const primary = targets.primary()
    if (primary === undefined) return
    for (const target of targets.all()) {
      if (target !== primary && needsFollow(target, view)) follow(target, view.term, primary)
    }
  }

  function needsFollow (target: Target, view: DatabaseView): boolean {
    const { reachability, role, term } = target.monitor.observation()
    return reachability === 'ok' && (role === 'primary' || term < view.term)
  }

  function follow (target: Target, term: number, primary: Target): void {
    const { instance } = target.member
    const now = performance.now()
    if (now - (followSentAt.get(instance) ?? -Infinity) < FOLLOW_INTERVAL_MS) return
    followSentAt.set(instance, now)
    log('followSent', { database: opts.database, instance, term, primary: primary.member.instance })
    target.monitor.execute(groupStatements.follow(term, primary.member.address))
      .then(() => target.monitor.pollFast(), () => {})
  }

  /**
   * Promotes the in-sync replica with the highest position to the term of the view; a replica that has restarted without
   * acknowledged writes is not eligible.
   */
  async function promote (view: DatabaseView): Promise<void> {
    if (promoting || promoted?.term === view.term) return
    const eligible = view.inSync.flatMap((instance) => targets.get(instance) ?? [])
      .filter((target) => target.member.state === 'serving' && target.monitor.observation().reachability === 'ok')
      .filter((target) => hasAllAcknowledged(target.member.instance))
    const mostAdvanced = mostAdvancedOf(eligible.map((target) => ({
      instance: target.member.instance,
      usable: true,
      position: positionOf(target),
    })))
    const target = mostAdvanced === undefined ? undefined : targets.get(mostAdvanced.instance)
    if (target === undefined) return
    promoting = true
    try {
      await promoteTarget(target, view)
    } finally {
      promoting = false
    }
  }

  async function promoteTarget (target: Target, view: DatabaseView): Promise<void> {
    const { instance } = target.member
    log('promotionAttempted', { database: opts.database, instance, term: view.term })
    const promoteResult = await target.monitor.execute(groupStatements.promote(view.term))
    if (promoteResult === undefined || !opts.isActive() || opts.view().term !== view.term) return
    const askedAt = performance.now()
    const statusRow = await target.monitor.execute(groupStatements.status)
    if (statusRow === undefined) return
    const status = readGroupStatus([[statusRow]])
    target.monitor.applyStatus(status, askedAt)
    const { role, term, position } = status
    if (role !== 'primary' || term !== view.term) return
    promoted = { term, instance }
    opts.onPromoted(position)
    opts.onReportChange()
    for (const other of targets.all()) {
      if (other !== target && other.monitor.observation().reachability === 'ok') follow(other, term, target)
    }
  }

  return {
    reconcile,
    requiredReplicas () {
      const { inSync, state } = opts.view()
      const wanted = opts.wantedInSync()
      if (wanted === 0) return []
      if (state !== 'open' || inSync.length < wanted) return undefined
      return [...new Set([...inSync, ...proposed])]
    },
    replicaAvailability () {
      if (opts.view().state === 'open' && proposed.length >= opts.wantedInSync()) return 'available'
      return performance.now() - missingSince < REPLICA_RECOVERY_MS ? 'expected' : 'missing'
    },
    promoted: () => promoted?.term === opts.view().term ? promoted.instance : null,
    requestInSync,
    close () {
      closed = true
    },
  }
}
