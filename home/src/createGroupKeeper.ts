import { type DatabaseView, hasReached, type LogPosition } from '@briarpick/types'
import { chooseInSync, mostAdvancedOf, type InSyncCandidate } from '@briarpick/failover'
import { createLogger } from '@briarpick/logs'
import { groupStatements, readGroupStatus } from '@briarpick/pg-target'
import { positionOf, type Target, type TargetSet } from './createTargetSet.js'

/** `held`: enough replicas are there; `soon`: they should be shortly; `lacking`: nobody knows when. */
export type DurabilityOutlook = 'held' | 'soon' | 'lacking'

/** Options of a group keeper. */
export interface GroupKeeperOptions {
  readonly database: string
  readonly targets: TargetSet
  readonly view: () => DatabaseView
  readonly mayAct: () => boolean
  readonly wantedInSync: () => number
  /** Last position that was acknowledged under any rule so far. */
  readonly acknowledged: () => LogPosition
  readonly isFloorKnown: () => boolean
  readonly onNews: () => void
  /** Called with the new primary's position once it took the term. */
  readonly onPromoted: (position: LogPosition) => void
  /** Called when what acknowledgements require has changed. */
  readonly onChange: () => void
}

/** Carries out control's decisions on the targets: promotion, following, and the choice of in-sync replicas. */
export interface GroupKeeper {
  /** Looks at what is to do; called when a view or a status changed. */
  tend: () => void
  /** Replicas that must hold a write before it is acknowledged; undefined if none may be acknowledged. */
  required: () => readonly string[] | undefined
  /** Whether enough replicas are there to hold a write. */
  durability: () => DurabilityOutlook
  promoted: () => string | null
  /** Replicas that control should name as the in-sync set; once asked for, they stay required until it has. */
  askInSync: () => readonly string[] | null
  close: () => void
}

/** Time between two orders to follow for the same target, in ms. */
const FOLLOW_AGAIN_MS = 250
/** Time between two reports of the same loss, in ms. */
const NEWS_AGAIN_MS = 40
/** Time in which replicas usually follow a new primary, in ms. */
const EXPECT_REPLICAS_MS = 2000
const log = createLogger('home:group')

/** Creates a keeper that has done nothing yet. */
export function createGroupKeeper (opts: GroupKeeperOptions): GroupKeeper {
  const { targets } = opts
  const followedAt = new Map<string, number>()
  let promoting = false
  let promoted: { readonly term: number, readonly instance: string } | undefined
  let joining: readonly string[] = []
  let asked: { readonly term: number, readonly instances: readonly string[] } | undefined
  let lackingSince = performance.now()
  let newsAt = -Infinity
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

  function tend (): void {
    if (closed || !opts.mayAct()) return
    const view = opts.view()
    if (view.state !== 'open') lackingSince = performance.now()
    if (view.state === 'promoting') promote(view).catch((err) => log('promoteFailed', { database: opts.database, reason: String(err) }))
    if (view.state === 'open') {
      chooseJoining(view)
      orderFollowers(view)
      reportLoss(view)
    }
  }

  /** From the moment a replica is chosen, acknowledgements wait for it too; it joins once it holds all earlier ones. */
  function chooseJoining (view: DatabaseView): void {
    if (isAskOpen(view)) {
      tellNews()
      return
    }
    const chosen = chooseInSync(candidates(), view.inSync, opts.wantedInSync())
    const next = chosen.length < opts.wantedInSync() ? [] : chosen
    if (next.join() === joining.join()) {
      if (mayAsk()) tellNews()
      return
    }
    if (next.length === 0) lackingSince = performance.now()
    joining = next
    opts.onChange()
  }

  /** True while control may still name the replicas that it was asked for, however long ago: until then they stay required. */
  function isAskOpen (view: DatabaseView): boolean {
    return asked?.term === view.term && asked.instances.join() !== view.inSync.join()
  }

  function mayAsk (): boolean {
    const view = opts.view()
    if (view.state !== 'open' || joining.length === 0 || joining.join() === view.inSync.join() || !opts.isFloorKnown()) return false
    return joining.every(holdsAcknowledged)
  }

  function askInSync (): readonly string[] | null {
    if (!mayAsk()) return null
    asked = { term: opts.view().term, instances: joining }
    return joining
  }

  function holdsAcknowledged (instance: string): boolean {
    return hasReached(positionOf(targets.get(instance)), opts.acknowledged())
  }

  function tellNews (): void {
    if (performance.now() - newsAt < NEWS_AGAIN_MS) return
    newsAt = performance.now()
    opts.onNews()
  }

  function reportLoss (view: DatabaseView): void {
    const primary = view.primary === null ? undefined : targets.get(view.primary)
    if (primary === undefined) return
    const { reachability, role, term } = primary.monitor.knowledge()
    if (reachability !== 'ok' || role !== 'primary' || term < view.term) tellNews()
  }

  function orderFollowers (view: DatabaseView): void {
    const primary = targets.primary()
    if (primary === undefined) return
    for (const target of targets.all()) {
      if (target !== primary && isAstray(target, view)) follow(target, view.term, primary)
    }
  }

  function isAstray (target: Target, view: DatabaseView): boolean {
    const { reachability, role, term } = target.monitor.knowledge()
    return reachability === 'ok' && (role === 'primary' || term < view.term)
  }

  function follow (target: Target, term: number, primary: Target): void {
    const { instance } = target.member
    const now = performance.now()
    if (now - (followedAt.get(instance) ?? -Infinity) < FOLLOW_AGAIN_MS) return
    followedAt.set(instance, now)
    log('follow', { database: opts.database, instance, term, primary: primary.member.instance })
    target.monitor.order(groupStatements.follow(term, primary.member.address))
      .then(() => target.monitor.hurry(), () => {})
  }

  /** Gives the frozen term to the furthest in-sync replica; one that came back without what was acknowledged is none. */
  async function promote (view: DatabaseView): Promise<void> {
    if (promoting || promoted?.term === view.term) return
    const heirs = view.inSync.flatMap((instance) => targets.get(instance) ?? [])
      .filter((target) => target.member.state === 'serving' && target.monitor.knowledge().reachability === 'ok')
      .filter((target) => holdsAcknowledged(target.member.instance))
    const heir = mostAdvancedOf(heirs.map((target) => ({ instance: target.member.instance, usable: true, position: positionOf(target) })))
    const target = heir === undefined ? undefined : targets.get(heir.instance)
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
    log('promote', { database: opts.database, instance, term: view.term })
    const answer = await target.monitor.order(groupStatements.promote(view.term))
    if (answer === undefined || !opts.mayAct() || opts.view().term !== view.term) return
    const askedAt = performance.now()
    const answered = await target.monitor.order(groupStatements.status)
    if (answered === undefined) return
    const status = readGroupStatus([[answered]])
    target.monitor.learn(status, askedAt)
    const { role, term, position } = status
    if (role !== 'primary' || term !== view.term) return
    promoted = { term, instance }
    opts.onPromoted(position)
    opts.onNews()
    for (const other of targets.all()) {
      if (other !== target && other.monitor.knowledge().reachability === 'ok') follow(other, term, target)
    }
  }

  return {
    tend,
    required () {
      const { inSync, state } = opts.view()
      const wanted = opts.wantedInSync()
      if (wanted === 0) return []
      if (state !== 'open' || inSync.length < wanted) return undefined
      return [...new Set([...inSync, ...joining])]
    },
    durability () {
      if (opts.view().state === 'open' && joining.length >= opts.wantedInSync()) return 'held'
      return performance.now() - lackingSince < EXPECT_REPLICAS_MS ? 'soon' : 'lacking'
    },
    promoted: () => promoted?.term === opts.view().term ? promoted.instance : null,
    askInSync,
    close () {
      closed = true
    },
  }
}
