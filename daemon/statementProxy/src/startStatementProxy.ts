import { setTimeout as sleep } from 'node:timers/promises'
import { type Address, formatAddress, type RenewRequest, type StatementFailure, statementFailure } from '@briarpick/types'
import { createLeaseRenewer, type LeaseGrant, type LeaseRenewer } from '@briarpick/daemon-lease'
import { createKernel, type Service } from '@briarpick/kernel'
import { createLogger } from '@briarpick/logs'
import { createDirectory } from '@briarpick/membership'
import { createMetrics, type Metrics } from '@briarpick/metrics'
import { createEntrySession, createRouteBook, type EntryContext, type EntrySession, type RouteBook } from '@briarpick/statement-entry'
import { type HomeLimits, type TargetDriver } from '@briarpick/statement-home'
import { createStatementLinkServer } from '@briarpick/statement-link'
import { createGate } from './createGate.js'
import { createStatementHomeFinder } from './createStatementHomeFinder.js'
import { createStatementHomes, type StatementHomes } from './createStatementHomes.js'

/** Options of a proxy daemon. */
export interface StatementProxyOptions {
  readonly name: string
  readonly dataCentre: string
  /** Where other proxies connect when this one is a home. */
  readonly link: Address
  /** Control nodes of the settings; read anew, since settings change. */
  readonly seeds: () => readonly Address[]
  readonly driver: TargetDriver
  /** How well this VM can carry homes, from 0 to 1. */
  readonly homeFitness: number
}

/** What a drain needs to know of the callers. */
export interface DrainOptions {
  /** Time from the signal to stop until the process is killed, in ms. */
  readonly graceMs: number
  /** Closes callers that rest, now and whenever one comes to rest. */
  readonly closeIdle: () => void
  /** Callers with a statement at work or a transaction open. */
  readonly busyCallers: () => number
}

/** A running proxy daemon, without the protocol that callers speak. */
export interface StatementProxy extends Service {
  readonly metrics: Metrics
  /** A session of a caller, or why there is none. Waits for the first routes while this proxy starts. */
  openSession: (callerName: string) => Promise<EntrySession | StatementFailure>
  /** True while this proxy should get new callers. */
  isReady: () => boolean
  /**
   * Calls a listener whenever this proxy loses or regains touch with control. Without it, it learns of no moved home; callers
   * are served better elsewhere, and are closed where they lose nothing.
   */
  onTouch: (listener: (isInTouch: boolean) => void) => void
  /** Planned stop: takes callers until the platform has noticed, hands homes over, and lets what is at work end. */
  drain: (opts: DrainOptions) => Promise<void>
}

/** Connections to one target if no routes tell. */
const DEFAULT_CONNECTIONS = 8
/** Connections of a target that are not used: for the status question of this home and of the next. */
const SPARE_CONNECTIONS = 3
/** A proxy that control has not answered for this long is out of touch, in ms: longer than a lease and an election. */
const OUT_OF_TOUCH_MS = 1500
const TOUCH_CHECK_MS = 100
const RENEWED_TIMEOUT_MS = 500
/** Time in which the platform's probes notice that a proxy is not ready, in ms: two probes, one a second, and some delay. */
const NOTICE_MS = 2400
/** Longest time that a home waits for single statements before it is handed over, in ms. */
const HANDOVER_MS = 300
/** Part of the grace after which the process ends whatever is open. */
const END_PART = 0.85
const BUSY_CHECK_MS = 20
/** Longest time that the start of a caller waits for the first routes, in ms; another proxy may have them sooner. */
const FIRST_ROUTES_MS = 500
const log = createLogger('proxy')

/** Starts a proxy daemon. */
export async function startStatementProxy (opts: StatementProxyOptions): Promise<StatementProxy> {
  const kernel = createKernel()
  // Unlike that of any other process of this proxy; it is no secret, and the crypto module would lengthen each start.
  const incarnation = Math.random().toString(36).slice(2, 10)
  const proxy = `${opts.name}#${incarnation}`
  const metrics = createMetrics()
  const directory = createDirectory()
  const routes = createRouteBook()
  const learned = new Map<string, Address>()
  const firstRoutes = createGate()
  const touchListeners: Array<(isInTouch: boolean) => void> = []
  let wasInTouch = true
  let leaving = false
  let grantedAt = -Infinity
  let transactions = 0
  const lease = () => kernel.find<LeaseRenewer>('lease')
  const renewNow = () => lease()?.renewNow()
  const isOutOfTouch = () => performance.now() - grantedAt > OUT_OF_TOUCH_MS

  const homes = await kernel.start<StatementHomes>('homes', () => createStatementHomes({
    proxy,
    dataCentre: opts.dataCentre,
    directory,
    driver: opts.driver,
    limitsOf: (database) => limitsOf(routes, database),
    isLeaseValid: () => lease()?.isValid() === true,
    askHome: async (view, term, position) => await finder.acknowledge(view, term, position),
    onNews: renewNow,
    metrics,
  }))
  await kernel.start('link', async () => await createStatementLinkServer({ listen: opts.link, homeOf: homes.find }))
  const finder = createStatementHomeFinder({
    proxy, directory, homes, renewNow, isInTouch: () => !isOutOfTouch(),
  })

  function request (): RenewRequest {
    return {
      proxy,
      incarnation,
      dataCentre: opts.dataCentre,
      linkAddress: opts.link,
      rpcAddress: opts.link,
      seen: directory.seen(),
      bundleVersion: 0,
      routesVersion: Math.max(0, routes.version()),
      homeFitness: opts.homeFitness,
      leaving,
      homes: homes.reports(),
      announcements: [],
      witnessed: [],
    }
  }

  function onGranted (grant: LeaseGrant): void {
    grantedAt = performance.now()
    if (grant.routes !== null && grant.routes !== undefined && routes.apply(grant.routes)) {
      firstRoutes.open()
      log('routes', { version: routes.version(), update: grant.routes.kind })
    }
    learned.clear()
    for (const address of grant.controls ?? []) learned.set(formatAddress(address), address)
    directory.update(grant.views, grant.index)
    for (const database of grant.release) homes.release(database, RENEWED_TIMEOUT_MS).catch((err) => log('releaseFailed', { database, reason: String(err) }))
  }

  async function handOver (): Promise<void> {
    renewNow()
    await homes.releaseAll(HANDOVER_MS)
    await Promise.race([lease()?.waitForRenewal(), sleep(RENEWED_TIMEOUT_MS)])
  }

  async function drain (drainOpts: DrainOptions): Promise<void> {
    const endsAt = performance.now() + drainOpts.graceMs * END_PART
    log('leaving', { proxy, homes: homes.databases().join(), busy: drainOpts.busyCallers() })
    leaving = true
    await Promise.all([handOver(), sleep(NOTICE_MS)])
    drainOpts.closeIdle()
    while (performance.now() < endsAt && drainOpts.busyCallers() + homes.finishing() > 0) await sleep(BUSY_CHECK_MS)
    log('left', { proxy, busy: drainOpts.busyCallers() })
  }

  await kernel.start<LeaseRenewer>('lease', () => createLeaseRenewer({
    control: () => dedupe([...opts.seeds(), ...learned.values()]), metrics, request, onGranted,
  }))
  function watchTouch (): void {
    const isInTouch = !firstRoutes.isOpen() || !isOutOfTouch()
    if (isInTouch === wasInTouch) return
    wasInTouch = isInTouch
    log(isInTouch ? 'inTouch' : 'outOfTouch', { proxy })
    for (const listener of touchListeners) listener(isInTouch)
  }
  const touchTimer = setInterval(watchTouch, TOUCH_CHECK_MS)

  const context: EntryContext = {
    routes,
    finder,
    metrics,
    newTransactionKey () {
      transactions += 1
      return `${incarnation}.${transactions.toString(36)}`
    },
  }
  metrics.gauge('routes_version', () => routes.version())
  metrics.gauge('homes', () => homes.databases().length)
  metrics.gauge('in_touch', () => Number(!isOutOfTouch()))
  log('started', { proxy, link: formatAddress(opts.link), homeFitness: opts.homeFitness })

  return {
    metrics,
    async openSession (callerName) {
      const askedAt = performance.now()
      if (!(await firstRoutes.within(FIRST_ROUTES_MS))) return statementFailure('busy', 'no_routes', { retryAfterMs: RENEWED_TIMEOUT_MS })
      if (isOutOfTouch()) return statementFailure('busy', 'out_of_touch', { retryAfterMs: BUSY_CHECK_MS })
      if (routes.find(callerName) !== undefined) return createEntrySession(callerName, context, Math.round(performance.now() - askedAt))
      return statementFailure('unknownDatabase', 'no_route', { text: callerName })
    },
    isReady: () => !leaving && routes.version() >= 0 && !isOutOfTouch(),
    onTouch: (listener) => { touchListeners.push(listener) },
    drain,
    async close () {
      clearInterval(touchTimer)
      finder.close()
      await kernel.close()
    },
  }
}

function limitsOf (routes: RouteBook, database: string): HomeLimits {
  const maxConnections = (routes.limitsOf(database)?.maxConnections ?? DEFAULT_CONNECTIONS) - SPARE_CONNECTIONS
  return { maxConnections: Math.max(1, maxConnections), transactionIdleMs: routes.transactionIdleMs() }
}

function dedupe (addresses: readonly Address[]): readonly Address[] {
  return [...new Map(addresses.map((address) => [formatAddress(address), address])).values()]
}
