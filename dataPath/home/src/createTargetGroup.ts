import { type DatabaseView, type Member, type TargetReport } from '@briarpick/types'
import { createLane, type Lane } from './createLane.js'
import { createTargetWatch, type TargetWatch } from './createTargetWatch.js'
import { type ReadCandidate } from './chooseReadTarget.js'
import { type StatementHomeOptions } from './statementHomeTypes.js'

/** One target: who it is, its connections and what is known of it. */
export interface GroupTarget {
  readonly member: Member
  readonly lane: Lane
  readonly watch: TargetWatch
}

/** The targets of a home's database. */
export interface TargetGroup {
  setView: (view: DatabaseView) => void
  get: (instance: string) => GroupTarget | undefined
  primary: () => GroupTarget | undefined
  all: () => Iterable<GroupTarget>
  /** True if some target has room for a statement, whether or not it may serve. */
  hasRoom: () => boolean
  /** True if some target has room and a connection for it. */
  mayTake: () => boolean
  /** Targets that may serve reads now. */
  readCandidates: () => readonly ReadCandidate[]
  isLiveReplica: (target: GroupTarget) => boolean
  /** True if the primary of the view answers and says that it is. */
  isPrimaryUsable: () => boolean
  reports: () => readonly TargetReport[]
  /** Closes connections that nobody uses, and opens no more. */
  closeIdle: () => void
  close: () => void
}

/** Options of a group. */
export interface TargetGroupOptions extends Pick<StatementHomeOptions, 'driver' | 'limits' | 'now' | 'dataCentre'> {
  readonly onFree: () => void
  readonly onStatus: () => void
  readonly isUrgent: () => boolean
}

const DEFAULT_SLOTS = 2
/** Silence in the face of questions after which a target gets no new work, in ms: several times the longest usual statement. */
const USABLE_SILENCE_MS = 500

/** Creates the targets of a view. */
export function createTargetGroup (first: DatabaseView, opts: TargetGroupOptions): TargetGroup {
  const targets = new Map<string, GroupTarget>()
  const since = opts.now()
  let view = first

  function add (member: Member): void {
    const { address, instance, slots = DEFAULT_SLOTS } = member
    const common = { address, instance, database: view.database, driver: opts.driver }
    const watch = createTargetWatch({ ...common, now: opts.now, onStatus: () => notice(instance), isUrgent: opts.isUrgent })
    const lane = createLane({
      ...common,
      slots,
      maxConnections: () => Math.max(1, opts.limits().maxConnections),
      onFree: opts.onFree,
      onRefused: () => watch.noteRefused(),
    })
    targets.set(instance, { member, lane, watch })
  }

  function notice (instance: string): void {
    const target = targets.get(instance)
    if (target === undefined) return
    if (target.watch.knowledge().reachability === 'ok') target.lane.warm()
    opts.onStatus()
  }

  function remove (instance: string, target: GroupTarget): void {
    targets.delete(instance)
    target.watch.close()
    target.lane.abandon()
    target.lane.close()
  }

  function setView (next: DatabaseView): void {
    view = next
    for (const [instance, target] of [...targets]) {
      const member = next.members.find((candidate) => candidate.instance === instance)
      if (member === undefined || !isSameStart(member, target.member)) remove(instance, target)
      else targets.set(instance, { ...target, member })
    }
    for (const member of next.members) {
      if (!targets.has(member.instance)) add(member)
    }
  }

  function isAnswering (target: GroupTarget): boolean {
    const { reachability, silentSince } = target.watch.knowledge()
    return reachability === 'ok' && opts.now() - (silentSince ?? Infinity) < USABLE_SILENCE_MS
  }

  /** The heir leads already, and the view that says so is on its way: it has all that was acknowledged. */
  function isNewLeader (target: GroupTarget): boolean {
    const { role, term } = target.watch.knowledge()
    return view.state === 'promoting' && target.member.instance === view.heir && isAnswering(target) && role === 'primary' && term >= view.term
  }

  function isLiveReplica (target: GroupTarget): boolean {
    return target.member.instance !== view.primary && isAnswering(target) && target.watch.knowledge().role === 'replica'
  }

  function isPrimaryUsable (): boolean {
    const target = view.primary === null ? undefined : targets.get(view.primary)
    if (target === undefined || view.state !== 'open' || !isAnswering(target)) return false
    const { role, term } = target.watch.knowledge()
    return role === 'primary' && term === view.term
  }

  function candidateOf (target: GroupTarget): ReadCandidate {
    const { received, applied, lagMs } = target.watch.knowledge()
    return {
      instance: target.member.instance,
      isPrimary: target.member.instance === view.primary,
      isNear: target.member.dataCentre === opts.dataCentre,
      isFree: target.lane.isFree(),
      mayTake: target.lane.mayTake(),
      active: target.lane.active(),
      slots: target.lane.slots(),
      capacity: target.lane.capacity(),
      received,
      applied,
      lagMs,
    }
  }

  setView(first)

  return {
    setView,
    get: (instance) => targets.get(instance),
    primary: () => view.primary === null ? undefined : targets.get(view.primary),
    all: () => targets.values(),
    hasRoom () {
      for (const { lane } of targets.values()) if (lane.hasRoom()) return true
      return false
    },
    mayTake () {
      for (const { lane } of targets.values()) if (lane.mayTake()) return true
      return false
    },
    readCandidates () {
      const isPrimaryReady = isPrimaryUsable()
      return [...targets.values()]
        .filter((target) => target.member.state === 'serving')
        .filter((target) => target.member.instance === view.primary ? isPrimaryReady : isLiveReplica(target) || isNewLeader(target))
        .map(candidateOf)
    },
    isLiveReplica,
    isPrimaryUsable,
    reports: () => [...targets.values()].map(({ member, watch }) => {
      const { reachability, answeredAt, role, term, received } = watch.knowledge()
      return {
        instance: member.instance,
        reachability: reachability === 'misrouted' ? 'refused' : reachability,
        silentMs: Math.round(opts.now() - Math.max(answeredAt, since)),
        role,
        term,
        position: received,
      }
    }),
    closeIdle () {
      for (const { lane, watch } of targets.values()) {
        lane.close()
        watch.close()
      }
    },
    close () {
      for (const [instance, target] of [...targets]) remove(instance, target)
    },
  }
}

/** True if both describe one start of a target at one address. */
function isSameStart (a: Member, b: Member): boolean {
  return a.address.host === b.address.host && a.address.port === b.address.port && a.startedAt === b.startedAt && a.slots === b.slots
}
