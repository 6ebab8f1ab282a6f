import { type Address, comparePositions, type DatabaseView, type LogPosition, type Member, ORIGIN, type TargetReport } from '@briarpick/types'
import { type RouteCandidate } from '@briarpick/routing'
import { createTargetPool, type TargetPool } from '@briarpick/pool'
import { groupStatements, readGroupStatus, type TargetConnection } from '@briarpick/pg-target'
import { createTargetMonitor, type TargetKnowledge, type TargetMonitor } from './createTargetMonitor.js'
import { type HomeOptions } from './homeTypes.js'

/** One target: who it is, its connections and what is known of it. */
export interface Target {
  readonly member: Member
  readonly pool: TargetPool
  readonly monitor: TargetMonitor
}

/** The targets of a home's database. */
export interface TargetSet {
  /** Follows the members of a view. */
  setView: (view: DatabaseView) => void
  get: (instance: string) => Target | undefined
  primary: () => Target | undefined
  all: () => Iterable<Target>
  candidates: () => readonly RouteCandidate[]
  /** True if a replica answers and has the view's term. */
  isUsableReplica: (instance: string) => boolean
  /** Lowest position of the replicas that serve; undefined if there is none. */
  slowestReplica: () => LogPosition | undefined
  reports: () => readonly TargetReport[]
  /** Asks all replicas for their positions soon. */
  hurry: () => void
  close: () => void
}

/** Options of a target set. */
export interface TargetSetOptions extends Pick<HomeOptions, 'connect' | 'policy' | 'dataCentre'> {
  readonly onFree: () => void
  readonly onStatus: (target: Target, knowledge: TargetKnowledge, askedAt: number) => void
}

/** Part of a target's connections that one home uses; the rest is for the next home while this one may still hold its own. */
const HOME_SHARE = 0.5
/** Connections for the monitor and for orders. */
const OWN_CONNECTIONS = 2
const STATUS_TIMEOUT_MS = 500
/** Silence after which a target gets no reads, in ms. */
const USABLE_SILENCE_MS = 700

/** Creates the targets of a view. */
export function createTargetSet (first: DatabaseView, opts: TargetSetOptions): TargetSet {
  const targets = new Map<string, Target>()
  let view = first

  function maxConnections (): number {
    return Math.max(1, Math.floor(opts.policy().connections * HOME_SHARE) - OWN_CONNECTIONS)
  }

  function add (member: Member): void {
    const { address } = member
    const monitor = createTargetMonitor({
      address,
      connect: opts.connect,
      onStatus: (knowledge, askedAt) => notice(member.instance, knowledge, askedAt),
    })
    const pool = createTargetPool({
      connect: () => connectKnown(address, monitor),
      maxConnections: maxConnections(),
      slots: opts.policy().slots,
      onFree: opts.onFree,
    })
    targets.set(member.instance, { member, pool, monitor })
  }

  /** Learns the status on each new connection, so that what is known belongs to this start of the target or a later one. */
  async function connectKnown (address: Address, monitor: TargetMonitor): Promise<TargetConnection> {
    const connection = await opts.connect(address)
    const askedAt = performance.now()
    monitor.learn(readGroupStatus(await connection.query(groupStatements.status, STATUS_TIMEOUT_MS)), askedAt)
    return connection
  }

  function notice (instance: string, knowledge: TargetKnowledge, askedAt: number): void {
    const target = targets.get(instance)
    if (target === undefined) return
    if (knowledge.reachability === 'ok') target.pool.warm()
    else if (instance !== view.primary) target.pool.closeAll()
    opts.onStatus(target, knowledge, askedAt)
  }

  function remove (instance: string, target: Target): void {
    targets.delete(instance)
    target.monitor.close()
    target.pool.close()
  }

  function isSameAddress (a: Member, b: Member): boolean {
    return a.address.host === b.address.host && a.address.port === b.address.port
  }

  function setView (next: DatabaseView): void {
    if (next.term !== view.term && view.primary !== null) targets.get(view.primary)?.pool.closeAll()
    view = next
    for (const [instance, target] of [...targets]) {
      const member = next.members.find((candidate) => candidate.instance === instance)
      if (member === undefined || !isSameAddress(member, target.member)) remove(instance, target)
      else if (member.state !== target.member.state) targets.set(instance, { ...target, member })
    }
    for (const member of next.members) {
      if (!targets.has(member.instance)) add(member)
    }
    for (const target of targets.values()) target.pool.resize(maxConnections(), opts.policy().slots)
  }

  function isAnswering (knowledge: TargetKnowledge, now: number): boolean {
    return knowledge.reachability === 'ok' && now - knowledge.answeredAt < USABLE_SILENCE_MS
  }

  /** While a term is being opened, replicas of the one before still serve what they hold. */
  function hasUsableTerm (term: number): boolean {
    return term === view.term || (view.state === 'promoting' && term === view.term - 1)
  }

  function isUsable (target: Target, now = performance.now()): boolean {
    const knowledge = target.monitor.knowledge()
    if (target.member.state !== 'serving' || !isAnswering(knowledge, now)) return false
    if (target.member.instance === view.primary) return view.state === 'open' && knowledge.role === 'primary' && knowledge.term === view.term
    return knowledge.role === 'replica' && hasUsableTerm(knowledge.term)
  }

  function candidateOf (target: Target, now: number): RouteCandidate {
    return {
      instance: target.member.instance,
      isPrimary: target.member.instance === view.primary,
      usable: isUsable(target, now),
      hasFreeSlot: target.pool.canAcquire(),
      position: target.monitor.knowledge().position,
      active: target.pool.active(),
      sameDataCentre: target.member.dataCentre === opts.dataCentre,
    }
  }

  function reportOf (target: Target): TargetReport {
    const { reachability, answeredAt, role, term, position } = target.monitor.knowledge()
    const silentMs = Math.round(performance.now() - answeredAt)
    return { instance: target.member.instance, reachability, silentMs, role, term, position }
  }

  setView(first)

  return {
    setView,
    get: (instance) => targets.get(instance),
    primary: () => view.primary === null ? undefined : targets.get(view.primary),
    all: () => targets.values(),
    candidates () {
      const now = performance.now()
      return Array.from(targets.values(), (target) => candidateOf(target, now))
    },
    isUsableReplica (instance) {
      const target = targets.get(instance)
      return target !== undefined && instance !== view.primary && isUsable(target)
    },
    slowestReplica () {
      const positions = [...targets.values()]
        .filter((target) => target.member.instance !== view.primary && isUsable(target))
        .map((target) => target.monitor.knowledge().position)
      return positions.sort(comparePositions)[0]
    },
    reports: () => [...targets.values()].map(reportOf),
    hurry () {
      for (const target of targets.values()) target.monitor.hurry()
    },
    close () {
      for (const [instance, target] of [...targets]) remove(instance, target)
    },
  }
}

/** Position of a target, or the origin if it is not known. */
export function positionOf (target: Target | undefined): LogPosition {
  return target?.monitor.knowledge().position ?? ORIGIN
}
