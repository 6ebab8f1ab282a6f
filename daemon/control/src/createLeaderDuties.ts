import { type Address, type Announcement, type ControlCommand, type DatabaseView, type RateLimitTolerance, type RenewRequest, type RenewResult, type RouteTable, type RouteUpdate } from '@briarpick/types'
import { DEFAULT_BUNDLE, type FailoverPolicy, readAcceptedBundleText } from '@briarpick/bundle'
import { createRouteHistory } from '@briarpick/routes'
import { hasDeparted, viewOf } from '@briarpick/consensus-state'
import { differsFromView, targetKey } from '@briarpick/membership'
import { decideDatabaseStep, type DecideStep, type HomeChoiceInputs, type LiveProxy, type RemovalInputs, reserveOnLeaderHost, type WitnessRound } from '@briarpick/failover'
import { granterMs, type GranterTime } from '@briarpick/clock'
import { type Service } from '@briarpick/kernel'
import { createLogger } from '@briarpick/logs'
import { type Metrics } from '@briarpick/metrics'
import { type Peer } from '@briarpick/rpc'
import { type ControlNode } from './createControlNode.js'
import { createConfiguredDatabases } from './createConfiguredDatabases.js'
import { createHomePlacement } from './createHomePlacement.js'
import { CLOCK_DRIFT_RATIO, createLeaseTable, type LeaseTable } from './createLeaseTable.js'
import { createLimitTable } from './createLimitTable.js'
import { createShareDuties } from './createShareDuties.js'
import { createTargetAnnouncements, type TargetAnnouncements } from './createTargetAnnouncements.js'
import { selectViews } from './selectViews.js'

/** Options of the leader's duties. */
export interface LeaderDutiesOptions {
  readonly node: ControlNode
  readonly metrics: Metrics
  /**
   * Time added to the lease duration before all leases of earlier leaders count as expired, in ms. 0 is safe: a voter elects a
   * new leader only if it has not heard from the earlier one for the minimum election timeout, after which that one no longer
   * grants leases.
   */
  readonly leaseExpiryMarginMs: number
  /**
   * Time for which a new leader collects renewals before it evaluates databases, in ms, so that homes are spread over all
   * proxies; 0 if absent.
   */
  readonly renewalWindowMs?: number
  /** Host of this node, on which fewer homes are placed while it leads; absent to treat all hosts alike. */
  readonly host?: string
  /** Lease duration, in ms; that of the active bundle if absent. */
  readonly leaseMs?: number
  /** Decides the next step of a database; by default that of database groups whose home promotes targets itself. */
  readonly decideStep?: DecideStep
  /** Returns the addresses of all known control nodes, which are sent to proxies with each renewal. */
  readonly controls?: () => readonly Address[]
  /** Tolerance of the limits of teams; absent if this deployment keeps none. */
  readonly rateLimits?: RateLimitTolerance
}

/** Tasks of a control node while it is the leader: grants leases, decides failovers and notifies proxies of changes. */
export interface LeaderDuties extends Service, Pick<TargetAnnouncements, 'announce' | 'withdraw'> {
  /** Renews a proxy's lease and returns the changes since its last renewal. */
  renew: (request: RenewRequest, peer: Peer) => RenewResult
  /** True once every lease that an earlier leader may have granted has expired. */
  haveEarlierLeasesExpired: () => boolean
  /** Notifies every proxy to renew at once. */
  pokeAll: () => void
  leases: () => LeaseTable
  /** Failover policy of the active bundle. */
  failoverPolicy: () => FailoverPolicy
}

/** What a command was decided from, for its log line. */
type CommandInputs = Partial<HomeChoiceInputs & RemovalInputs>
type LeaseGrant = Extract<RenewResult, { readonly kind: 'granted' }>

const EVALUATION_INTERVAL_MS = 50
/** Interval at which each home is compared with all proxies for a move, in ms. */
const MOVE_CHECK_INTERVAL_MS = 250
/** Maximum number of views in one renewal that don't concern the proxy's own homes; more would delay the renewals of all proxies. */
const MAX_VIEWS = 64
const log = createLogger('control:duties')

/** Starts the leader's duties; they are inactive while the node is not the leader. */
export function createLeaderDuties (opts: LeaderDutiesOptions): LeaderDuties {
  const { node } = opts
  const decideStep = opts.decideStep ?? decideDatabaseStep
  const leases = createLeaseTable()
  const routeHistory = createRouteHistory()
  const isConfigured = createConfiguredDatabases(() => node.state().routes?.table)
  const teamLimits = createLimitTable(() => node.state().routes?.table)
  const shareDuties = opts.rateLimits === undefined
    ? undefined
    : createShareDuties({
      tolerance: opts.rateLimits,
      views: () => node.state().views,
      databases: teamLimits.databases,
      limitOf: teamLimits.limitOf,
      term: () => node.status().term,
      leaseMs,
      leaseExpiryMarginMs: opts.leaseExpiryMarginMs,
      now: () => performance.now(),
      metrics: opts.metrics,
    })
  /** Databases with a command that is proposed and not applied yet. */
  const inFlight = new Set<string>()
  /** Databases whose next home is proposed and not applied yet. */
  const assigning = new Set<string>()
  /** Keys of the targets that are proposed to join. */
  const joining = new Set<string>()
  const placement = createHomePlacement({ views: () => Object.values(node.state().views) })
  const witnessRounds = new Map<string, WitnessRound>()
  const targets = createTargetAnnouncements({ node, metrics: opts.metrics, poke })
  let live: readonly LiveProxy[] = []
  let movesCheckedAt = -Infinity
  let knownLeaderSince: GranterTime | undefined
  let renewalWindowTimer: NodeJS.Timeout | undefined
  let cachedPolicyVersion = -1
  let cachedPolicy = DEFAULT_BUNDLE.failover
  const timer = setInterval(evaluateAllDatabases, EVALUATION_INTERVAL_MS)

  function failoverPolicy (): FailoverPolicy {
    const { bundle } = node.state()
    const version = bundle?.version ?? 0
    if (version === cachedPolicyVersion) return cachedPolicy
    cachedPolicyVersion = version
    cachedPolicy = bundle === null ? DEFAULT_BUNDLE.failover : readAcceptedBundleText(bundle.text).unwrapOr(DEFAULT_BUNDLE).failover
    return cachedPolicy
  }

  function leaseMs (): number {
    return opts.leaseMs ?? failoverPolicy().lease
  }

  /** Clears the state of an earlier leadership when this node gains or loses the leadership. */
  function resetOnLeadershipChange (): void {
    const since = node.leaderSince()
    if (since === knownLeaderSince) return
    knownLeaderSince = since
    leases.clear()
    shareDuties?.reset(since !== undefined)
    live = []
    witnessRounds.clear()
    inFlight.clear()
    assigning.clear()
    joining.clear()
    placement.clear()
    clearTimeout(renewalWindowTimer)
    // Evaluates without waiting for the next interval: after a full restart, requests wait for home assignments.
    if (since !== undefined) renewalWindowTimer = setTimeout(evaluateAllDatabases, renewalWindowLeftMs(granterMs()) + 1)
  }

  /** Handles the shares of a renewal; other homes whose shares changed are told to renew. */
  function renewShares (request: RenewRequest): Pick<LeaseGrant, 'teamShares' | 'teamLoans' | 'unknownShares'> {
    const response = shareDuties?.renew(request)
    if (response === undefined) return {}
    const { teamShares, teamLoans, unknownShares, changed } = response
    const proxies = new Set(changed.map((database) => viewOf(node.state(), database)?.home?.proxy))
    for (const proxy of proxies) if (proxy !== request.proxy) poke(proxy)
    return {
      ...teamShares.length === 0 ? {} : { teamShares },
      ...teamLoans.length === 0 ? {} : { teamLoans },
      ...unknownShares.length === 0 ? {} : { unknownShares },
    }
  }

  /**
   * Duration of the lease that a renewal grants, in ms. It is 0 for a proxy whose lease has expired while a database of it is about to
   * get another home: in the answer the proxy still is the home, and would act as such beside the next one.
   */
  function leaseMsFor ({ proxy }: RenewRequest, now: GranterTime): number {
    const isHomeOf = (database: string) => viewOf(node.state(), database)?.home?.proxy === proxy
    if (leases.liveProxy(proxy, now) !== undefined || ![...assigning].some(isHomeOf)) return leaseMs()
    opts.metrics.count('events', 'lease_withheld')
    log('leaseWithheld', { proxy, databases: [...assigning].filter(isHomeOf).join() })
    return 0
  }

  function routeUpdateFor ({ routesVersion, needsWholeRoutes }: RenewRequest, table: RouteTable): RouteUpdate | null {
    if (routesVersion === undefined) return null
    const needsWhole = needsWholeRoutes ?? routesVersion === 0
    return routeHistory.updateFor(needsWhole ? undefined : routesVersion, table)
  }

  function renewalWindowLeftMs (now: GranterTime): number {
    return (node.leaderSince() ?? now) + (opts.renewalWindowMs ?? 0) - now
  }

  function haveEarlierLeasesExpired (now: GranterTime): boolean {
    const since = node.leaderSince()
    return since !== undefined && now - since > leaseMs() * (1 + CLOCK_DRIFT_RATIO) + opts.leaseExpiryMarginMs
  }

  function evaluateAllDatabases (): void {
    resetOnLeadershipChange()
    shareDuties?.observe()
    if (!node.isReady()) return
    listLiveProxies()
    placement.recount()
    const now = granterMs()
    const mayMove = now - movesCheckedAt >= MOVE_CHECK_INTERVAL_MS
    if (mayMove) movesCheckedAt = now
    for (const view of Object.values(node.state().views)) evaluateDatabase(view, mayMove)
  }

  function listLiveProxies (): void {
    const leaseHolders = leases.live(granterMs())
    live = opts.host === undefined ? leaseHolders : reserveOnLeaderHost(opts.host, leaseHolders)
  }

  /** Decides the next step of a database; its home is moved only if `mayMove` is true. */
  function evaluateDatabase (view: DatabaseView, mayMove: boolean): void {
    const now = granterMs()
    if (inFlight.has(view.database) || renewalWindowLeftMs(now) > 0) return
    const { lease: _lease, ...timing } = failoverPolicy()
    const decision = decideStep({
      now,
      view,
      holder: leases.liveProxy(view.home?.proxy, now),
      proxies: live,
      earlierLeasesExpired: haveEarlierLeasesExpired(now),
      report: leases.report(view.database, view.home?.proxy, view.homeEpoch),
      isConfigured: isConfigured(view.database),
      homeCounts: placement.homeCounts(view, now),
      leaderSince: node.leaderSince(),
      homeSince: mayMove ? placement.homeSince(view, now) : undefined,
      announcedAt: (instance) => targets.announcedAt(view.database, instance),
      hasWithdrawn: (instance) => targets.hasWithdrawn(view.database, instance, startOf(view, instance)),
      findings: leases.findings(view.database),
      round: witnessRounds.get(view.database),
    }, {
      refusedAfterMs: timing.refused_after,
      silentAfterMs: timing.silent_after,
      witnesses: timing.witnesses,
      witnessTimeoutMs: timing.witness_timeout,
    })
    if (decision.round === undefined) witnessRounds.delete(view.database)
    else witnessRounds.set(view.database, decision.round)
    for (const call of decision.calls) {
      log('witnessRequested', { database: view.database, instance: call.request.instance, proxy: call.proxy })
      leases.queueWitnessRequest(call.proxy, call.request)
      poke(call.proxy)
    }
    if (decision.homeMove !== undefined) {
      placement.beginMove(view, decision.homeMove, now)
      opts.metrics.count('events', 'home_move')
      log('homeMoveRequested', { database: view.database, epoch: view.homeEpoch, ...decision.homeMove })
    }
    if (decision.releaseHome && view.home !== null) {
      leases.queueRelease(view.home.proxy, view.database)
      poke(view.home.proxy)
    }
    if (decision.command !== undefined) {
      proposeCommand(view.database, decision.command, { ...decision.homeChoice, ...decision.removal })
    }
  }

  /** Proposes a command, then notifies the database's old and new home to renew. Other proxies get the change with their next renewal. */
  function proposeCommand (database: string, command: ControlCommand, inputs?: CommandInputs): void {
    const previousHome = viewOf(node.state(), database)?.home?.proxy
    const instance = command.kind === 'joinTarget' ? command.announcement.instance : undefined
    const [proposed, key] = instance === undefined ? [inFlight, database] : [joining, targetKey(database, instance)]
    proposed.add(key)
    if (command.kind === 'assignHome') {
      assigning.add(database)
      placement.setPending(database, command.proxy)
    }
    opts.metrics.count('events', command.kind)
    node.propose(command)
      .then(() => log(command.kind, { database, instance, index: node.appliedIndex(), ...inputs }), (err) => log('proposalFailed', { database, instance, reason: String(err) }))
      .finally(() => {
        proposed.delete(key)
        if (command.kind === 'assignHome') {
          assigning.delete(database)
          placement.setPending(database, undefined)
        }
        for (const proxy of new Set([previousHome, viewOf(node.state(), database)?.home?.proxy])) poke(proxy)
      })
      .catch(() => {})
  }

  function poke (proxy: string | undefined): void {
    if (proxy !== undefined) leases.peerOf(proxy)?.notify('proxy.poke', {})
  }

  function pokeAll (): void {
    for (const lease of leases.all()) lease.peer.notify('proxy.poke', {})
  }

  function proposeAnnouncement (announcement: Announcement): void {
    const view = viewOf(node.state(), announcement.database)
    if (joining.has(targetKey(announcement.database, announcement.instance))) return
    if ((view !== undefined && hasDeparted(view, announcement)) || !differsFromView(announcement, view)) return
    proposeCommand(announcement.database, { kind: 'joinTarget', announcement })
  }

  return {
    renew (request, peer) {
      resetOnLeadershipChange()
      if (!node.isReady()) return { kind: 'notLeader', leader: node.leaderAddress() }
      const now = granterMs()
      const lease = leaseMsFor(request, now)
      leases.grant(request, peer, now, lease)
      for (const announcement of request.announcements) proposeAnnouncement(announcement)
      // The answer then tells an overloaded proxy which homes to release; the next one would come late, as all it does.
      const { overloaded: mayMove = false } = request
      if (mayMove) listLiveProxies()
      for (const { database } of [...request.homes, ...request.witnessed]) {
        const view = viewOf(node.state(), database)
        if (view !== undefined) evaluateDatabase(view, mayMove)
      }
      const { bundle, routes } = node.state()
      const views = () => Object.values(node.state().views)
      return {
        kind: 'granted',
        leaseMs: lease,
        ...selectViews(request, { views, appliedIndex: node.appliedIndex(), maxViews: MAX_VIEWS }),
        bundle: bundle !== null && bundle.version > request.bundleVersion ? bundle : null,
        routes: routes === null ? null : routeUpdateFor(request, routes.table),
        controls: opts.controls?.(),
        ...renewShares(request),
        witness: leases.takeWitnessRequests(request.proxy),
        release: leases.takeReleases(request.proxy),
      }
    },
    announce: targets.announce,
    withdraw: targets.withdraw,
    haveEarlierLeasesExpired: () => haveEarlierLeasesExpired(granterMs()),
    pokeAll,
    leases: () => leases,
    failoverPolicy,
    async close () {
      clearInterval(timer)
      clearTimeout(renewalWindowTimer)
    },
  }
}

/** Start of a target's process in a view, in Unix ms; undefined if it is not known. */
function startOf ({ members }: DatabaseView, instance: string): number | undefined {
  return members.find((member) => member.instance === instance)?.startedAt
}
