import { setTimeout as sleep } from 'node:timers/promises'
import { type Address, formatAddress, type RateLimitTolerance, type RenewRequest, type RouteUpdate, type StatementFailure, statementFailure } from '@briarpick/types'
import { createLeaseRenewer, type LeaseGrant, type LeaseRenewer } from '@briarpick/daemon-lease'
import { createKernel, type Service } from '@briarpick/kernel'
import { createLogger } from '@briarpick/logs'
import { createDirectory } from '@briarpick/membership'
import { createMetrics, type Metrics } from '@briarpick/metrics'
import {
  type ActiveRoutes,
  createActiveRoutes,
  createSessionMemory,
  createStatementSession,
  createWaitBoard,
  type StatementSession,
  type StatementSessionContext,
} from '@briarpick/statement-entry'
import { type HomeLimits, type TargetDriver } from '@briarpick/statement-home'
import { createStatementLinkServer } from '@briarpick/statement-link'
import { digestPresentedKey, identifyCaller } from '@briarpick/team-identity'
import { createRefusalMemory, createTeamUse, type TeamUse } from '@briarpick/team-limits'
import { createLatch } from './createLatch.js'
import { createOverloadMonitor, startOverloadTimer } from './createOverloadMonitor.js'
import { createStatementHomeFinder } from './createStatementHomeFinder.js'
import { createStatementHomes, type StatementHomes } from './createStatementHomes.js'
import { checkProxyHeap } from './heapBudgets.js'
import { stateHomeFitness } from './stateHomeFitness.js'

/** Options of `startStatementProxy`. */
export interface StatementProxyOptions {
  readonly name: string
  readonly dataCentre: string
  /** Address at which other proxies connect to the homes of this one. */
  readonly link: Address
  /** Control nodes of the settings; called for each renewal, since settings may be reloaded. */
  readonly seeds: () => readonly Address[]
  readonly driver: TargetDriver
  /** True if targets may look healthy and be slow or fail: homes then hold outliers back. */
  readonly ejectsOutliers: boolean
  /** Suitability of this VM for running homes, from 0 to 1. */
  readonly homeFitness: number
  /** Tolerance with which the limits of teams are kept; absent if this deployment keeps none. */
  readonly rateLimits?: RateLimitTolerance
}

/** Options of a drain. */
export interface DrainOptions {
  /** Grace period: time from the stop signal until the process is killed, in ms. */
  readonly graceMs: number
  /** Closes idle callers, now and whenever another one becomes idle. */
  readonly closeIdle: () => void
  /** Number of callers with a running statement or an open transaction, or whose next request may be on its way. */
  readonly busyCallers: () => number
}

/** A running proxy daemon, independent of the callers' protocol. */
export interface StatementProxy extends Service {
  readonly metrics: Metrics
  /**
   * Opens a session for a caller name, or returns why that failed. During startup, waits for the first routes.
   *
   * @param key the caller's key; null if it presents none
   */
  openSession: (callerName: string, key: string | null) => Promise<StatementSession | StatementFailure>
  /** Readiness: true while this proxy should receive new callers. */
  isReady: () => boolean
  /**
   * Calls a listener whenever control becomes unreachable or reachable again. While control is unreachable, this proxy does not
   * learn of moved homes and callers are served better by another proxy; closing the idle ones interrupts no work.
   */
  onControlReachabilityChange: (listener: (isReachable: boolean) => void) => void
  /** Calls a listener after each change of the routes: sessions of withdrawn keys are then to be closed. */
  onRoutesChange: (listener: () => void) => void
  /** Planned stop: accepts callers until readiness probes have failed, releases the homes, and lets running work end. */
  drain: (opts: DrainOptions) => Promise<void>
}

/** Connection limit of a target if the routes set none for its database. */
const DEFAULT_CONNECTIONS = 8
/** Connections of a target's limit that are kept free for the status probes of this home and of the next one. */
const RESERVED_CONNECTIONS = 3
/** Time since the last granted renewal after which control counts as unreachable, in ms: longer than a lease and an election. */
const CONTROL_UNREACHABLE_MS = 1500
const REACHABILITY_CHECK_MS = 100
/** Longest wait for a renewal, and retry delay of callers rejected for lack of routes, in ms. */
const RENEWAL_TIMEOUT_MS = 500
/** Time within which the platform's probes detect that a proxy is not ready, in ms: two probes, one a second, and some delay. */
const READINESS_PROPAGATION_MS = 2400
/** Longest wait for single statements of a home, at a planned stop or a move, before the home is released, in ms. */
const HOME_RELEASE_TIMEOUT_MS = 300
/** Fraction of the grace period after which a drain ends even if callers are busy. */
const DRAIN_GRACE_FRACTION = 0.85
/** Interval at which a drain checks for busy callers, and retry delay of callers rejected while control is unreachable, in ms. */
const BUSY_CHECK_MS = 20
/** Longest time that opening a session waits for the first routes, in ms; another proxy may have them sooner. */
const FIRST_ROUTES_TIMEOUT_MS = 500
/** Time for which an overload is stated after its last detection, in ms: several renewals. */
const OVERLOAD_STATED_MS = 1000
/** Time after the start of the process or of a home during which an overload is not stated, in ms: both begin with a backlog. */
const OVERLOAD_GRACE_MS = 4000
const log = createLogger('proxy')

/** Starts a proxy daemon. Resolves once it listens for links; sessions need the first routes as well. */
export async function startStatementProxy (opts: StatementProxyOptions): Promise<StatementProxy> {
  checkProxyHeap()
  const kernel = createKernel()
  // Distinct from that of any other process of this proxy. It is not a secret, and loading the crypto module would slow down startup.
  const incarnation = Math.random().toString(36).slice(2, 10)
  const proxy = `${opts.name}#${incarnation}`
  const metrics = createMetrics()
  const directory = createDirectory()
  const routes = createActiveRoutes()
  const teamUse = createTeamUse()
  const learnedControls = new Map<string, Address>()
  const firstRoutes = createLatch()
  const reachabilityListeners: Array<(isReachable: boolean) => void> = []
  const routesListeners: Array<() => void> = []
  /** True if the last change did not apply to this proxy's routes. */
  let lacksBase = false
  let wasReachable = true
  let leaving = false
  let grantedAt = -Infinity
  let transactions = 0
  let homesChangedAt = performance.now()
  let overloadedAt = -Infinity
  const lease = () => kernel.find<LeaseRenewer>('lease')
  const renewNow = () => lease()?.renewNow()
  const isControlUnreachable = () => performance.now() - grantedAt > CONTROL_UNREACHABLE_MS

  const homes = await kernel.start<StatementHomes>('homes', () => createStatementHomes({
    proxy,
    dataCentre: opts.dataCentre,
    directory,
    driver: opts.driver,
    ejectsOutliers: opts.ejectsOutliers,
    limitsOf: (database) => limitsOf(routes, database),
    ...opts.rateLimits === undefined
      ? {}
      : { teamLimits: { tolerance: opts.rateLimits, limitOf: routes.teamLimit, databases: routes.databases, use: teamUse } },
    leaseEnd: () => lease()?.validUntil() ?? -Infinity,
    confirmCommit: async (view, term, position) => await homeFinder.confirmCommit(view, term, position),
    onReportChange: renewNow,
    metrics,
  }))
  await kernel.start('link', async () => await createStatementLinkServer({ listen: opts.link, homeOf: homes.find }))
  const listeningSince = performance.now()
  const homeFinder = createStatementHomeFinder({
    proxy, directory, homes, renewNow, isControlReachable: () => !isControlUnreachable(),
  })

  function request (): RenewRequest {
    return {
      proxy,
      incarnation,
      dataCentre: opts.dataCentre,
      linkAddress: opts.link,
      rpcAddress: opts.link,
      seen: directory.appliedIndex(),
      bundleVersion: 0,
      // Earlier builds of control accept no negative number.
      routesVersion: Math.max(0, routes.version()),
      needsWholeRoutes: routes.version() < 0 || lacksBase,
      ...stateHomeFitness({ homeFitness: opts.homeFitness, isOverloaded: isOverloaded() }),
      ...opts.rateLimits === undefined ? {} : { listeningMs: performance.now() - listeningSince },
      leaving,
      homes: homes.reports(),
      announcements: [],
      witnessed: [],
    }
  }

  function onGranted (grant: LeaseGrant, { homes: reports }: RenewRequest): void {
    grantedAt = performance.now()
    if (grant.routes !== null && grant.routes !== undefined) updateRoutes(grant.routes)
    learnedControls.clear()
    for (const address of grant.controls ?? []) learnedControls.set(formatAddress(address), address)
    directory.update(grant.views, grant.index)
    homes.applyShares({ reports, shares: grant.teamShares ?? [], loans: grant.teamLoans ?? [], unknown: grant.unknownShares ?? [] })
    for (const database of grant.release) homes.release(database, HOME_RELEASE_TIMEOUT_MS).catch((err) => log('homeReleaseFailed', { database, reason: String(err) }))
  }

  function updateRoutes (update: RouteUpdate): void {
    const result = routes.apply(update)
    lacksBase = result === 'otherBase'
    if (lacksBase) log('routesIgnored', { version: routes.version(), update: update.kind, reason: result })
    if (result !== 'applied') return
    firstRoutes.open()
    log('routes', { version: routes.version(), update: update.kind })
    for (const listener of routesListeners) listener()
  }

  function isOverloaded (): boolean {
    return performance.now() - overloadedAt < OVERLOAD_STATED_MS
  }

  /** States an overload to control, which moves the homes if there are VMs for them. */
  function checkOverload (): void {
    const now = performance.now()
    if (homes.databases().length === 0) homesChangedAt = now
    const mayState = !leaving && now - homesChangedAt > OVERLOAD_GRACE_MS && lease()?.isValid() === true
    if (!mayState || !overloadMonitor.isOverloaded()) return
    const isNew = !isOverloaded()
    overloadedAt = now
    if (!isNew) return
    metrics.count('events', 'overloaded')
    const lateMs = Math.round(overloadMonitor.lateMs())
    log('overloaded', { proxy, homes: homes.databases().join(), lateMs, homeFitness: opts.homeFitness })
    renewNow()
  }

  async function handOver (): Promise<void> {
    renewNow()
    await homes.releaseAll(HOME_RELEASE_TIMEOUT_MS)
    await Promise.race([lease()?.waitForRenewal(), sleep(RENEWAL_TIMEOUT_MS)])
  }

  async function drain (drainOpts: DrainOptions): Promise<void> {
    const endsAt = performance.now() + drainOpts.graceMs * DRAIN_GRACE_FRACTION
    log('draining', { proxy, homes: homes.databases().join(), busy: drainOpts.busyCallers() })
    leaving = true
    await Promise.all([handOver(), sleep(READINESS_PROPAGATION_MS)])
    drainOpts.closeIdle()
    // The first check comes after a wait: what has arrived while this process was short of time is read, and counts as work.
    do await sleep(BUSY_CHECK_MS)
    while (performance.now() < endsAt && drainOpts.busyCallers() + homes.drainingHomes() > 0)
    log('drained', { proxy, busy: drainOpts.busyCallers() })
  }

  await kernel.start<LeaseRenewer>('lease', () => createLeaseRenewer({
    control: () => dedupe([...opts.seeds(), ...learnedControls.values()]), metrics, request, onGranted,
  }))
  function checkReachability (): void {
    const isReachable = !firstRoutes.isOpen() || !isControlUnreachable()
    if (isReachable === wasReachable) return
    wasReachable = isReachable
    log(isReachable ? 'controlReachable' : 'controlUnreachable', { proxy })
    for (const listener of reachabilityListeners) listener(isReachable)
  }
  const overloadMonitor = createOverloadMonitor()
  await kernel.start('overload', () => startOverloadTimer(overloadMonitor, checkOverload))
  const reachabilityTimer = setInterval(checkReachability, REACHABILITY_CHECK_MS)

  const memory = createSessionMemory()
  const context: StatementSessionContext = {
    routes,
    homeFinder,
    metrics,
    ...opts.rateLimits === undefined ? {} : { refusals: createRefusalMemory({ now: () => performance.now(), use: teamUse }) },
    waitBoard: createWaitBoard(),
    memory,
    newTransactionKey () {
      transactions += 1
      return `${incarnation}.${transactions.toString(36)}`
    },
  }
  metrics.gauge('routes_version', () => routes.version())
  metrics.gauge('waiting_requests', () => homes.waiting())
  metrics.gauge('session_memory_bytes', memory.bytes)
  metrics.gauge('homes', () => homes.databases().length)
  if (opts.rateLimits !== undefined) countTeams(metrics, teamUse)
  metrics.gauge('in_touch', () => Number(!isControlUnreachable()))
  log('started', { proxy, link: formatAddress(opts.link), homeFitness: opts.homeFitness })

  return {
    metrics,
    async openSession (callerName, key) {
      const start = performance.now()
      if (!(await firstRoutes.waitUntilOpen(FIRST_ROUTES_TIMEOUT_MS))) return statementFailure('busy', 'no_routes', { retryAfterMs: RENEWAL_TIMEOUT_MS })
      if (isControlUnreachable()) return statementFailure('busy', 'out_of_touch', { retryAfterMs: BUSY_CHECK_MS })
      const route = routes.find(callerName)
      if (route === undefined) return statementFailure('unknownDatabase', 'no_route', { text: callerName })
      const teams = routes.teams()
      const keyDigest = teams === undefined ? null : digestPresentedKey(key)
      if (identifyCaller(keyDigest, route, teams).kind === 'unknown') {
        metrics.count('refusals', 'unknown_key')
        log('sessionRefused', { callerName, reason: 'unknown_key' })
        return statementFailure('unauthenticated', 'unknown_key')
      }
      return createStatementSession({ callerName, keyDigest, waitedMs: Math.round(performance.now() - start) }, context)
    },
    isReady: () => !leaving && routes.version() >= 0 && !isControlUnreachable(),
    onControlReachabilityChange: (listener) => { reachabilityListeners.push(listener) },
    onRoutesChange: (listener) => { routesListeners.push(listener) },
    drain,
    async close () {
      clearInterval(reachabilityTimer)
      homeFinder.close()
      await kernel.close()
    },
  }
}

function countTeams (metrics: Metrics, use: TeamUse): void {
  const read = (kind: 'admitted' | 'refused') => new Map([...use.counts()].map(([team, counts]) => [team, counts[kind]]))
  metrics.counters('team_admitted', () => read('admitted'))
  metrics.counters('team_refused', () => read('refused'))
}

function limitsOf (routes: ActiveRoutes, database: string): HomeLimits {
  const maxConnections = (routes.limitsOf(database)?.maxConnections ?? DEFAULT_CONNECTIONS) - RESERVED_CONNECTIONS
  return {
    maxConnections: Math.max(1, maxConnections),
    transactionIdleMs: routes.transactionIdleMs(),
    hasTeams: routes.teams() !== undefined,
  }
}

function dedupe (addresses: readonly Address[]): readonly Address[] {
  return [...new Map(addresses.map((address) => [formatAddress(address), address])).values()]
}
