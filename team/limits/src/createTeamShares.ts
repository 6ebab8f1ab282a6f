import { type DatabaseShares, type HomeReport } from '@briarpick/types'
import { MIN_CHANGE, planTeamShares, ROUNDING, roundDown } from './planTeamShares.js'

/** Home of a database, as the leader's views name it. */
export interface SharesHome {
  readonly database: string
  readonly epoch: number
}

/** A renewal, as far as it concerns shares. */
export interface SharesRenewal {
  /** Home assignments of the renewing proxy. */
  readonly assigned: readonly SharesHome[]
  readonly reports: ReadonlyArray<Pick<HomeReport, 'database' | 'epoch' | 'teamShares' | 'teamDemand'>>
}

/** What the leader sends in response. */
export interface SharesResponse {
  readonly teamShares: readonly DatabaseShares[]
  readonly unknownShares: readonly string[]
  /** Databases whose homes should renew at once, since their shares changed. */
  readonly changed: readonly string[]
}

/** Options of the leader's shares. Times are monotonic, in ms, and never step forward: a lease must not count as ended too early. */
export interface TeamSharesOptions {
  readonly now: () => number
  /** Control term of this leadership. */
  readonly term: number
  /** Databases in force. */
  readonly databases: () => readonly string[]
  /** False once every lease of the database's home, granted by any leader, has ended. */
  readonly isHeld: (database: string) => boolean
  /** True once every lease that an earlier leader may have granted has ended. */
  readonly haveEarlierLeasesExpired: () => boolean
  /** Time since when no home has used the shares of a database, before its present home if that one is alive; undefined if unknown. */
  readonly unusedSince: (database: string) => number | undefined
}

/** Moves shares of the teams' limits between the homes of the databases, by demand. */
export interface TeamShares {
  renew: (renewal: SharesRenewal) => SharesResponse
  /** Moved shares by team and database, for the status. */
  moved: () => ReadonlyMap<string, ReadonlyMap<string, number>>
}

/** Shares of one database. */
interface ShareSet {
  readonly number: number
  readonly base: number
  readonly shares: ReadonlyMap<string, number>
}

/** Shares of one database as the leader knows them. */
interface Slot {
  epoch: number
  /** Shares in use; those of an earlier leader have the number -1. */
  confirmed: ShareSet
  /** Shares that were sent and may be in use. */
  offered: ShareSet | undefined
  /** Time of the last offer, in ms. */
  offeredAt: number
  /** Time since when no home has used the present shares, before the present home; undefined if it is not known. */
  idleSince: number | undefined
}

/** A team whose shares are moved. */
interface MovedTeam {
  readonly demands: Map<string, number>
  targets: ReadonlyMap<string, number> | undefined
  plannedAt: number
  /** Last time at which some demand exceeded the base share. */
  neededAt: number
  isChanged: boolean
}

/** Maximum number of teams whose shares are moved at the same time. */
const MAX_MOVED_TEAMS = 64
/** Shortest time between two decisions about a team, in ms. */
const PLAN_INTERVAL_MS = 150
/** Shortest time between two offers to a database, in ms, so that the changes of many teams travel together. */
const OFFER_INTERVAL_MS = 100
/** Demand, as a multiple of the equal share, from which a team needs other shares. */
const NEEDED_FACTOR = 1.25
/** Time without need after which a team's shares become equal again, in ms. */
const RETURN_AFTER_MS = 5000
const NOTHING: ShareSet = { number: -1, base: 0, shares: new Map() }

/**
 * Creates the shares of one leadership. What may be in use never sums to more than 1 for any team: a database counts with the
 * higher of its confirmed and its offered share, and a share is raised only by what is left.
 */
export function createTeamShares (opts: TeamSharesOptions): TeamShares {
  const slots = new Map<string, Slot>()
  const moved = new Map<string, MovedTeam>()
  let isReady = false
  let isDirty = true
  let lastNumber = 0
  /** Share of each database that no home has used since the restart of all; 0 after other starts. */
  let unusedBase = 0

  function valueOf ({ base, shares }: ShareSet, team: string | null): number {
    return team === null ? base : shares.get(team) ?? base
  }

  /** Highest share that may be in use. */
  function inUse ({ confirmed, offered }: Slot, team: string | null): number {
    return offered === undefined ? valueOf(confirmed, team) : Math.max(valueOf(confirmed, team), valueOf(offered, team))
  }

  /** What is left of a limit; `null` stands for the base share. */
  function freeShare (team: string | null): number {
    let used = 0
    for (const slot of slots.values()) used += inUse(slot, team)
    return Math.max(0, 1 - used)
  }

  function receiveReport ({ database, epoch, teamShares, teamDemand }: SharesRenewal['reports'][number], unknown: string[]): void {
    const slot = slots.get(database)
    if (slot === undefined) learnSlot(database, epoch, teamShares, unknown)
    else if (epoch === slot.epoch) confirm(slot, teamShares)
    for (const { team, wanted } of teamDemand ?? []) receiveDemand(database, team, wanted)
  }

  /** Learns the shares that a home got from an earlier leader. */
  function learnSlot (database: string, epoch: number, teamShares: HomeReport['teamShares'], unknown: string[]): void {
    if (teamShares === undefined) {
      slots.set(database, createSlot(epoch, NOTHING))
    } else if (teamShares.base === undefined || teamShares.shares === undefined) {
      unknown.push(database)
      return
    } else {
      const shares = new Map(teamShares.shares.map(({ team, share }) => [team, share]))
      slots.set(database, createSlot(epoch, { number: -1, base: teamShares.base, shares }))
      for (const team of shares.keys()) listTeam(team, true)
    }
    isDirty = true
  }

  function confirm (slot: Slot, teamShares: HomeReport['teamShares']): void {
    if (slot.offered === undefined || teamShares === undefined) return
    const [term, number] = teamShares.version
    if (term !== opts.term || number !== slot.offered.number) return
    acceptOffer(slot)
  }

  function acceptOffer (slot: Slot): void {
    if (slot.offered === undefined) return
    slot.confirmed = slot.offered
    slot.offered = undefined
    isDirty = true
  }

  function listTeam (team: string, isMoved = false): MovedTeam | undefined {
    const known = moved.get(team)
    if (known !== undefined) return known
    if (!isMoved && moved.size >= MAX_MOVED_TEAMS) return undefined
    const entry: MovedTeam = { demands: new Map(), targets: undefined, plannedAt: -Infinity, neededAt: opts.now(), isChanged: true }
    moved.set(team, entry)
    isDirty = true
    return entry
  }

  function receiveDemand (database: string, team: string, wanted: number): void {
    const entry = listTeam(team)
    if (entry === undefined) return
    entry.demands.set(database, wanted)
    entry.isChanged = true
    isDirty = true
  }

  /** A new home of a database starts with the latest shares: its predecessor has released the database or lost its lease. */
  function startEpoch ({ database, epoch }: SharesHome): void {
    const slot = slots.get(database)
    if (slot === undefined || epoch <= slot.epoch) return
    acceptOffer(slot)
    const endedAt = opts.unusedSince(database)
    // Shares that were never sent to a home keep their time.
    if (slot.epoch !== -1) slot.idleSince = endedAt !== undefined && endedAt >= slot.offeredAt ? endedAt : undefined
    slot.epoch = epoch
    for (const entry of moved.values()) {
      entry.demands.delete(database)
      entry.isChanged = true
    }
  }

  /** Homes that may hold shares from an earlier leader must report them before any share is raised. */
  function checkReady (databases: readonly string[]): void {
    if (isReady) return
    const isKnown = (database: string) => slots.has(database) || opts.unusedSince(database) !== undefined
    if (!opts.haveEarlierLeasesExpired() && !databases.every(isKnown)) return
    isReady = true
    isDirty = true
    addAndRemoveSlots(databases)
    if ([...slots.values()].every(({ confirmed }) => confirmed.base === 0)) startUnusedShares(databases)
  }

  /** After a restart of all, no home has used any share since the last of the earlier homes ended. */
  function startUnusedShares (databases: readonly string[]): void {
    const unusedSince = Math.max(...databases.map((database) => opts.unusedSince(database) ?? opts.now()))
    unusedBase = 1 / databases.length
    for (const slot of slots.values()) slot.idleSince = unusedSince
  }

  function addAndRemoveSlots (databases: readonly string[]): void {
    if (databases.length === slots.size && databases.every((database) => slots.has(database))) return
    for (const database of databases) {
      if (!slots.has(database)) slots.set(database, createSlot(-1, NOTHING))
    }
    const inForce = new Set(databases)
    for (const database of slots.keys()) if (!inForce.has(database) && !opts.isHeld(database)) slots.delete(database)
    isDirty = true
  }

  /** Tells new homes to start, with no share yet: what earlier leaders gave to others is not known. */
  function startNewHomes (): void {
    for (const slot of slots.values()) {
      if (slot.confirmed !== NOTHING || slot.offered !== undefined) continue
      lastNumber += 1
      slot.offered = { ...NOTHING, number: lastNumber }
    }
  }

  /** Decides the shares of a team, once the demands of all its homes are known. */
  function planTeam (team: string, entry: MovedTeam, base: number, now: number): void {
    const isListed = ([database, { confirmed }]: readonly [string, Slot]) => confirmed.shares.has(team) || !opts.isHeld(database)
    if (!entry.isChanged || now - entry.plannedAt < PLAN_INTERVAL_MS || ![...slots].every(isListed)) return
    const names = [...slots.keys()]
    const demands = names.map((database) => entry.demands.get(database) ?? 0)
    if (demands.some((demand) => demand > base * NEEDED_FACTOR)) entry.neededAt = now
    const returnsToBase = now - entry.neededAt > RETURN_AFTER_MS
    const current = [...slots.values()].map(({ confirmed }) => valueOf(confirmed, team))
    const targets = returnsToBase ? names.map(() => base) : planTeamShares({ current, demands })
    entry.targets = new Map(names.map((database, i) => [database, targets[i]]))
    entry.plannedAt = now
    // Without need, time alone leads to the next decision.
    entry.isChanged = !returnsToBase && demands.every((demand) => demand <= base * NEEDED_FACTOR)
  }

  function unlistTeam (team: string, entry: MovedTeam, base: number, now: number): void {
    if (now - entry.neededAt <= RETURN_AFTER_MS || entry.targets === undefined) return
    const hasBase = (set: ShareSet | undefined) => set === undefined ||
      (Math.abs(set.base - base) < ROUNDING && Math.abs(valueOf(set, team) - base) < ROUNDING)
    if ([...slots.values()].every(({ confirmed, offered }) => hasBase(confirmed) && hasBase(offered))) moved.delete(team)
  }

  /** Next share of a database: a lower one at once, a higher one as far as something is left. */
  function nextShare (slot: Slot, team: string | null, target: number): number {
    const current = valueOf(slot.confirmed, team)
    const wanted = target - current
    if (wanted <= 0) return target
    if (wanted < ROUNDING) return current
    const step = Math.min(wanted, freeShare(team))
    return step < Math.min(MIN_CHANGE, wanted / 2) ? current : step === wanted ? target : roundDown(current + step)
  }

  function offer (database: string, slot: Slot, base: number, changed: string[]): void {
    const isHeld = opts.isHeld(database)
    if (slot.offered !== undefined && !isHeld) acceptOffer(slot)
    const now = opts.now()
    // An offer without any share may be replaced at once: nothing can be used by it.
    if (slot.offered !== undefined && !isNothing(slot.offered)) return
    if (now - slot.offeredAt < OFFER_INTERVAL_MS) {
      isDirty = true
      return
    }
    const nextBase = nextShare(slot, null, base)
    const shares = new Map([...moved].map(([team, { targets }]) => {
      const current = valueOf(slot.confirmed, team)
      return [team, nextShare(slot, team, targets?.get(database) ?? current)]
    }))
    if (slot.confirmed.number >= 0 && nextBase === slot.confirmed.base && isSameMap(shares, slot.confirmed.shares)) return
    lastNumber += 1
    const isFirstBase = slot.confirmed.base === 0 && nextBase <= unusedBase
    if (!isFirstBase) slot.idleSince = undefined
    slot.offeredAt = now
    slot.offered = { number: lastNumber, base: nextBase, shares }
    if (isHeld) changed.push(database)
    else acceptOffer(slot)
  }

  /** Offers new shares where something has changed; costs nothing while all teams stay within their shares. */
  function decide (databases: readonly string[]): readonly string[] {
    checkReady(databases)
    if (databases.length === 0) return []
    if (!isReady) {
      startNewHomes()
      return []
    }
    addAndRemoveSlots(databases)
    const changed: string[] = []
    const now = opts.now()
    const base = 1 / databases.length
    const isPending = isDirty || [...moved.values()].some(({ isChanged }) => isChanged)
    if (!isPending) return changed
    isDirty = false
    for (const [team, entry] of moved) {
      planTeam(team, entry, base, now)
      unlistTeam(team, entry, base, now)
    }
    for (const [database, slot] of slots) offer(database, slot, base, changed)
    return changed
  }

  function toShares (database: string, { epoch, offered, confirmed, idleSince }: Slot): DatabaseShares {
    const { number, base, shares } = offered ?? confirmed
    return {
      database,
      epoch,
      version: [opts.term, number],
      base,
      shares: [...shares].map(([team, share]) => ({ team, share })),
      ...idleSince === undefined ? {} : { idleMs: Math.max(0, opts.now() - idleSince) },
    }
  }

  /** Shares that the homes of a proxy do not use yet. */
  function sharesFor ({ assigned, reports }: SharesRenewal): readonly DatabaseShares[] {
    const versions = new Map(reports.map(({ database, epoch, teamShares }) => [database, { epoch, version: teamShares?.version }]))
    return assigned.flatMap(({ database }) => {
      const slot = slots.get(database)
      if (slot === undefined) return []
      const latest = slot.offered ?? slot.confirmed
      if (latest.number < 0) return []
      const known = versions.get(database)
      const isCurrent = known?.epoch === slot.epoch && known.version?.[0] === opts.term && known.version[1] === latest.number
      return isCurrent ? [] : [toShares(database, slot)]
    })
  }

  return {
    renew (renewal) {
      const unknownShares: string[] = []
      for (const home of renewal.assigned) startEpoch(home)
      for (const report of renewal.reports) receiveReport(report, unknownShares)
      const changed = decide(opts.databases())
      return { teamShares: sharesFor(renewal), unknownShares, changed }
    },
    moved: () => new Map([...moved.keys()].map((team) => [
      team, new Map([...slots].map(([database, slot]) => [database, valueOf(slot.confirmed, team)])),
    ])),
  }
}

function createSlot (epoch: number, confirmed: ShareSet): Slot {
  return { epoch, confirmed, offered: undefined, offeredAt: -Infinity, idleSince: undefined }
}

/** True if no team may use anything by a set of shares. */
function isNothing ({ base, shares }: ShareSet): boolean {
  return base === 0 && [...shares.values()].every((share) => share === 0)
}

function isSameMap (a: ReadonlyMap<string, number>, b: ReadonlyMap<string, number>): boolean {
  return a.size === b.size && [...a].every(([key, value]) => b.get(key) === value)
}
