import { type Address, comparePositions, type DatabaseView, type LogPosition, type Member, ORIGIN, type TargetReport } from '@briarpick/types'
import { type RouteCandidate } from '@briarpick/routing'
import { createTargetPool, type TargetPool } from '@briarpick/pool'
import { groupStatements, readGroupStatus, type TargetConnection } from '@briarpick/pg-target'
import { createTargetMonitor, type TargetMonitor, type TargetObservation } from './createTargetMonitor.js'
import { type HomeOptions } from './homeTypes.js'

/** A target with its connection pool and its monitor. */
export interface Target {
  readonly member: Member
  readonly pool: TargetPool
  readonly monitor: TargetMonitor
}

/** The targets of the database of a home. */
export interface TargetSet {
  /** Adds, updates and removes targets to match the members of a view. */
  setView: (view: DatabaseView) => void
  get: (instance: string) => Target | undefined
  primary: () => Target | undefined
  all: () => Iterable<Target>
  candidates: () => readonly RouteCandidate[]
  /** True if the replica responds, serves requests, and is in a term that may serve reads. */
  isUsableReplica: (instance: string) => boolean
  /** Lowest position of the usable replicas; undefined if there is none. */
  lowestReplicaPosition: () => LogPosition | undefined
  reports: () => readonly TargetReport[]
  /** Polls all targets at once, and at the short interval for a while. */
  pollFast: () => void
  close: () => void
}

/** Options of a target set. */
export interface TargetSetOptions extends Pick<HomeOptions, 'connect' | 'policy' | 'dataCentre'> {
  readonly onAvailable: () => void
  readonly onStatus: (target: Target, observation: TargetObservation, askedAt: number) => void
}

/**
 * Fraction of a target's connections that one home uses. The rest is left for the next home, which may start while this
 * one still has its connections open.
 */
const HOME_CONNECTION_FRACTION = 0.5
/** Connections reserved for the monitor and for statements of the replication group. */
const RESERVED_CONNECTIONS = 2
const STATUS_TIMEOUT_MS = 500
/** Time without a response after which a target is no longer used, in ms. */
const MAX_SILENCE_MS = 700

/** Creates the targets of the members of a view. */
export function createTargetSet (initialView: DatabaseView, opts: TargetSetOptions): TargetSet {
  const targets = new Map<string, Target>()
  let view = initialView

  function maxConnections (): number {
    return Math.max(1, Math.floor(opts.policy().connections * HOME_CONNECTION_FRACTION) - RESERVED_CONNECTIONS)
  }

  function add (member: Member): void {
    const { address } = member
    const monitor = createTargetMonitor({
      address,
      connect: opts.connect,
      onStatus: (observation, askedAt) => handleObservation(member.instance, observation, askedAt),
    })
    const pool = createTargetPool({
      connect: () => connectWithStatus(address, monitor),
      maxConnections: maxConnections(),
      slots: opts.policy().slots,
      onAvailable: opts.onAvailable,
    })
    targets.set(member.instance, { member, pool, monitor })
  }

  /**
   * Reads the status on each new connection, so that the observed status is never of an earlier incarnation of the
   * target than the connection.
   */
  async function connectWithStatus (address: Address, monitor: TargetMonitor): Promise<TargetConnection> {
    const connection = await opts.connect(address)
    const askedAt = performance.now()
    monitor.applyStatus(readGroupStatus(await connection.query(groupStatements.status, STATUS_TIMEOUT_MS)), askedAt)
    return connection
  }

  function handleObservation (instance: string, observation: TargetObservation, askedAt: number): void {
    const target = targets.get(instance)
    if (target === undefined) return
    if (observation.reachability === 'ok') target.pool.preconnect()
    else if (instance !== view.primary) target.pool.closeAll()
    opts.onStatus(target, observation, askedAt)
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

  function isResponsive (observation: TargetObservation, now: number): boolean {
    return observation.reachability === 'ok' && now - observation.answeredAt < MAX_SILENCE_MS
  }

  /** During a promotion, replicas of the previous term still serve reads up to their position. */
  function hasUsableTerm (term: number): boolean {
    return term === view.term || (view.state === 'promoting' && term === view.term - 1)
  }

  function isUsable (target: Target, now = performance.now()): boolean {
    const observation = target.monitor.observation()
    if (target.member.state !== 'serving' || !isResponsive(observation, now)) return false
    if (target.member.instance === view.primary) return view.state === 'open' && observation.role === 'primary' && observation.term === view.term
    return observation.role === 'replica' && hasUsableTerm(observation.term)
  }

  function candidateOf (target: Target, now: number): RouteCandidate {
    return {
      instance: target.member.instance,
      isPrimary: target.member.instance === view.primary,
      usable: isUsable(target, now),
      hasFreeSlot: target.pool.canAcquire(),
      position: target.monitor.observation().position,
      active: target.pool.active(),
      sameDataCentre: target.member.dataCentre === opts.dataCentre,
    }
  }

  function reportOf (target: Target): TargetReport {
    const { reachability, answeredAt, role, term, position } = target.monitor.observation()
    const silentMs = Math.round(performance.now() - answeredAt)
    return { instance: target.member.instance, reachability, silentMs, role, term, position }
  }

  setView(initialView)

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
    lowestReplicaPosition () {
      const positions = [...targets.values()]
        .filter((target) => target.member.instance !== view.primary && isUsable(target))
        .map((target) => target.monitor.observation().position)
      return positions.sort(comparePositions)[0]
    },
    reports: () => [...targets.values()].map(reportOf),
    pollFast () {
      for (const target of targets.values()) target.monitor.pollFast()
    },
    close () {
      for (const [instance, target] of [...targets]) remove(instance, target)
    },
  }
}

/** Position of a target, or the origin if it is not known. */
export function positionOf (target: Target | undefined): LogPosition {
  return target?.monitor.observation().position ?? ORIGIN
}
