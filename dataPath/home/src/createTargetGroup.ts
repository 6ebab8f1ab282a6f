import { type DatabaseView, type Member, type TargetReport } from '@briarpick/types'
import { createLogger } from '@briarpick/logs'
import { type AckHistory } from './createAckHistory.js'
import { createStatementTargetPool, type StatementTargetPool } from './createStatementTargetPool.js'
import { createTargetProber, type TargetProber } from './createTargetProber.js'
import { type ReadCandidate } from './chooseReadTarget.js'
import { createOutlierEjection, type EjectionEvent, type OutlierEjection } from './createOutlierEjection.js'
import { type StatementHomeOptions } from './statementHomeTypes.js'

/** Target of a database with its connection pool and prober. */
export interface GroupTarget {
  readonly member: Member
  readonly pool: StatementTargetPool
  readonly prober: TargetProber
  /** Time since which it has been probed, in ms on the home's clock. */
  readonly addedAt: number
}

/** All targets of a home's database. */
export interface TargetGroup {
  setView: (view: DatabaseView) => void
  get: (instance: string) => GroupTarget | undefined
  primary: () => GroupTarget | undefined
  all: () => Iterable<GroupTarget>
  /** True if some target accepts one more statement, in a free slot or beyond its slots; whether it can serve it is not checked. */
  canAcquireSlot: () => boolean
  /** True if some such target also has an idle connection of the team. */
  canAcquire: (team: string | null) => boolean
  /** True if some target accepts one more connection being opened. */
  canOpen: () => boolean
  /** Number of connections that are being opened for a team, over all targets. */
  opening: (team: string | null) => number
  /** Targets that can serve reads of a team now. */
  readCandidates: (team: string | null) => readonly ReadCandidate[]
  /** Records the result of a statement for the outlier ejection. */
  recordResult: OutlierEjection['record']
  /** Holds outliers back, and lets them return; to be called periodically. Returns what has changed. */
  ejectOutliers: () => readonly EjectionEvent[]
  /** What the outlier ejection has observed of each target; undefined if it is off. */
  describeOutliers: () => string | undefined
  /** True if the target answers and reports itself as a replica. */
  isLiveReplica: (target: GroupTarget) => boolean
  /** True if a replica answers that had received nearly everything acknowledged when it was last asked. */
  hasReceivingReplica: () => boolean
  /** True if the view is open and its primary answers and reports itself as primary of the view's term. */
  isPrimaryUsable: () => boolean
  reports: () => readonly TargetReport[]
  /** Closes idle connections, stops probing, and opens no new connections. */
  closeIdle: () => void
  close: () => void
}

/** Options of a target group. */
export interface TargetGroupOptions extends
  Pick<StatementHomeOptions, 'driver' | 'limits' | 'now' | 'dataCentre' | 'metrics' | 'ejectsOutliers'>, Pick<AckHistory, 'missingMs'> {
  readonly onAvailable: () => void
  /** Called after each probe. */
  readonly onStatus: () => void
  /** Called when a target has been connected for probes, for the first time or again. */
  readonly onConnected: () => void
  /** Called when a target is gone, with what it had received, or has less of the log than before. */
  readonly onCopyLost: () => void
  /** True while targets are to be probed at the short interval. */
  readonly isUrgent: () => boolean
}

/** Slots of a target whose member entry names none. */
const DEFAULT_SLOTS = 2
/** Time of unanswered probes or statements after which a target gets no new ones, in ms: several times the longest usual statement. */
const MAX_SILENCE_MS = 500
/** Receive lag above which a replica does not count as receiving, in ms: several times that of replicas in other data centres. */
const MAX_RECEIVE_LAG_MS = 60
/** Standing of every target while outlier ejection is off. */
const UNLIMITED = { limit: Infinity, extraMs: 0 }
const log = createLogger('home')

/** Creates the group and starts probing the members of the view. */
export function createTargetGroup (initialView: DatabaseView, opts: TargetGroupOptions): TargetGroup {
  const targets = new Map<string, GroupTarget>()
  const ejection = opts.ejectsOutliers ? createOutlierEjection(opts) : undefined
  let view = initialView

  function add (member: Member): void {
    const { address, instance, slots = DEFAULT_SLOTS } = member
    const common = { address, instance, database: view.database, driver: opts.driver }
    const prober = createTargetProber({
      ...common,
      now: opts.now,
      onStatus: () => handleStatus(instance),
      onConnected: opts.onConnected,
      onLogShortened: opts.onCopyLost,
      missingMs: opts.missingMs,
      isUrgent: opts.isUrgent,
    })
    const pool = createStatementTargetPool({
      ...common,
      slots,
      maxConnections: () => Math.max(1, opts.limits().maxConnections),
      hasTeams: () => opts.limits().hasTeams,
      onTeamConnection: (event) => opts.metrics.count('events', `team_connection_${event}`),
      onAvailable: opts.onAvailable,
      onConnectionFailure: () => prober.onConnectionFailure(),
    })
    targets.set(instance, { member, pool, prober, addedAt: opts.now() })
  }

  function handleStatus (instance: string): void {
    const target = targets.get(instance)
    if (target === undefined) return
    if (target.prober.observation().reachability === 'ok') target.pool.preconnect()
    opts.onStatus()
  }

  function remove (instance: string, target: GroupTarget): void {
    targets.delete(instance)
    target.prober.close()
    target.pool.closeAll()
    target.pool.close()
  }

  function setView (next: DatabaseView): void {
    const before = [...targets.keys()]
    view = next
    for (const [instance, target] of [...targets]) {
      const member = next.members.find((candidate) => candidate.instance === instance)
      if (member === undefined || !isSameIncarnation(member, target.member)) {
        opts.onCopyLost()
        remove(instance, target)
      } else targets.set(instance, { ...target, member })
    }
    for (const member of next.members) {
      if (!targets.has(member.instance)) add(member)
    }
    logMembers(before)
  }

  function logMembers (before: readonly string[]): void {
    const after = [...targets.keys()]
    const added = after.filter((instance) => !before.includes(instance))
    const removed = before.filter((instance) => !targets.has(instance))
    if (added.length + removed.length === 0) return
    const { database, term, changedAt } = view
    log('targetsChanged', { database, term, changedAt, added: added.join(' '), removed: removed.join(' '), targets: after.length })
  }

  function isAnswering (target: GroupTarget): boolean {
    const { reachability, silentSince } = target.prober.observation()
    return reachability === 'ok' && opts.now() - (silentSince ?? Infinity) < MAX_SILENCE_MS
  }

  /** True if the heir already is the primary and only the view is not updated yet: it has every acknowledged write. */
  function isPromotedHeir (target: GroupTarget): boolean {
    const { role, term } = target.prober.observation()
    return view.state === 'promoting' && target.member.instance === view.heir && isAnswering(target) && role === 'primary' && term >= view.term
  }

  function isLiveReplica (target: GroupTarget): boolean {
    return target.member.instance !== view.primary && isAnswering(target) && target.prober.observation().role === 'replica'
  }

  function isPrimaryUsable (): boolean {
    const target = view.primary === null ? undefined : targets.get(view.primary)
    if (target === undefined || view.state !== 'open' || !isAnswering(target)) return false
    const { role, term } = target.prober.observation()
    return role === 'primary' && term === view.term
  }

  function candidateOf (target: GroupTarget, team: string | null): ReadCandidate {
    const { received, applied, lagMs, receiveLagMs } = target.prober.observation()
    const { limit, extraMs } = ejection?.standing(target.member.instance) ?? UNLIMITED
    return {
      instance: target.member.instance,
      isPrimary: target.member.instance === view.primary,
      isLocal: target.member.dataCentre === opts.dataCentre,
      isFree: target.pool.isFree(team),
      canAcquire: target.pool.canAcquire(team),
      active: target.pool.active(),
      slots: target.pool.slots(),
      capacity: target.pool.capacity(),
      received,
      applied,
      lagMs,
      receiveLagMs,
      isHeldBack: target.pool.active() >= limit,
      extraMs,
    }
  }

  setView(initialView)

  return {
    setView,
    get: (instance) => targets.get(instance),
    primary: () => view.primary === null ? undefined : targets.get(view.primary),
    all: () => targets.values(),
    canAcquireSlot () {
      for (const { pool } of targets.values()) if (pool.canAcquireSlot()) return true
      return false
    },
    canAcquire (team) {
      for (const { pool } of targets.values()) if (pool.canAcquire(team)) return true
      return false
    },
    canOpen () {
      for (const { pool } of targets.values()) if (pool.hasOpeningRoom()) return true
      return false
    },
    opening (team) {
      let sum = 0
      for (const { pool } of targets.values()) sum += pool.opening(team)
      return sum
    },
    readCandidates (team) {
      const isPrimaryReady = isPrimaryUsable()
      return [...targets.values()]
        .filter((target) => target.member.state === 'serving')
        .filter((target) => target.member.instance === view.primary ? isPrimaryReady : isLiveReplica(target) || isPromotedHeir(target))
        .map((target) => candidateOf(target, team))
    },
    recordResult: (instance, result) => ejection?.record(instance, result),
    describeOutliers: () => ejection?.describe(),
    ejectOutliers: () => ejection?.check([...targets.values()].map((target) => ({
      instance: target.member.instance,
      isAnswering: isAnswering(target),
    }))) ?? [],
    isLiveReplica,
    hasReceivingReplica: () => [...targets.values()].some((target) =>
      isLiveReplica(target) && target.prober.observation().receiveLagMs <= MAX_RECEIVE_LAG_MS),
    isPrimaryUsable,
    reports: () => [...targets.values()].map(({ member, prober, addedAt }) => {
      const { reachability, answeredAt, role, term, received } = prober.observation()
      return {
        instance: member.instance,
        reachability: reachability === 'misrouted' ? 'refused' : reachability,
        silentMs: Math.round(opts.now() - Math.max(answeredAt, addedAt)),
        role,
        term,
        position: received,
      }
    }),
    closeIdle () {
      for (const { pool, prober } of targets.values()) {
        pool.close()
        prober.close()
      }
    },
    close () {
      for (const [instance, target] of [...targets]) remove(instance, target)
    },
  }
}

/** True if both describe the same start of a target, at the same address and with the same slots. */
function isSameIncarnation (a: Member, b: Member): boolean {
  return a.address.host === b.address.host && a.address.port === b.address.port && a.startedAt === b.startedAt && a.slots === b.slots
}

/** True if the target answers and reports itself as primary. */
export function isPromoted ({ prober }: GroupTarget): boolean {
  const { reachability, role } = prober.observation()
  return reachability === 'ok' && role === 'primary'
}
