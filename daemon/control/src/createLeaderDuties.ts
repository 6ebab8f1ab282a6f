import { type Address, type Announcement, type ControlCommand, type DatabaseView, type RenewRequest, type RenewResult } from '@briarpick/types'
import { checkBundleText, type FailoverPolicy, NO_BUNDLE } from '@briarpick/bundle'
import { createRecentRoutes } from '@briarpick/routes'
import { isNews } from '@briarpick/membership'
import { type DecideStep, decideDatabaseStep, type LiveProxy, reduceFitnessOnLeaderHost, type WitnessRound } from '@briarpick/failover'
import { elapsedMs } from '@briarpick/clock'
import { type Service } from '@briarpick/kernel'
import { createLogger } from '@briarpick/logs'
import { type Metrics } from '@briarpick/metrics'
import { type Peer } from '@briarpick/rpc'
import { type ControlNode } from './createControlNode.js'
import { createLeases, DRIFT_RATIO, type Leases } from './createLeases.js'
import { selectViews } from './selectViews.js'

/** Options of the leader's duties. */
export interface LeaderDutiesOptions {
  readonly node: ControlNode
  readonly metrics: Metrics
  /**
   * Time beyond a lease until every lease of an earlier leader has run out, in ms. None is needed: a voter that elects a
   * leader has not followed the earlier one for the shortest election timeout, after which that one no longer grants.
   */
  readonly settleExtraMs: number
  /** Time for which a new leader lets proxies renew before it judges, in ms, so that homes are spread over all of them. */
  readonly gatherMs?: number
  /** Host of this node, which is spared homes while it leads; absent if homes may be anywhere. */
  readonly host?: string
  /** Length of leases, in ms; that of the bundle in force if absent. */
  readonly leaseMs?: number
  /** Decides the next step of a database; the judgement of groups that take orders from their home if absent. */
  readonly judge?: DecideStep
  /** Addresses of all control nodes known, for proxies to renew at. */
  readonly controls?: () => readonly Address[]
}

/** What a control node does while it leads: grants leases, judges databases, tells proxies of changes. */
export interface LeaderDuties extends Service {
  renew: (request: RenewRequest, peer: Peer) => RenewResult
  /** Takes what a target says of itself; resolves once it is in the log, if it is news. */
  announce: (announcement: Announcement) => Promise<void>
  /** Takes a target's farewell. */
  withdraw: (instance: string) => Promise<void>
  /** True once every lease that an earlier leader may have granted has run out. */
  isSettled: () => boolean
  /** Asks every proxy to renew at once. */
  pokeAll: () => void
  leases: () => Leases
  failoverPolicy: () => FailoverPolicy
}

const JUDGE_MS = 50
/** Views of other homes in one renewal; more of them would hold up the renewals of all. */
const MAX_VIEWS = 64
const log = createLogger('control:duties')

/** Starts the duties; they rest while the node does not lead. */
export function createLeaderDuties (opts: LeaderDutiesOptions): LeaderDuties {
  const { node } = opts
  const judgeOne = opts.judge ?? decideDatabaseStep
  const leases = createLeases()
  const recentRoutes = createRecentRoutes()
  const busy = new Set<string>()
  const assigning = new Map<string, string>()
  const rounds = new Map<string, WitnessRound>()
  const heard = new Map<string, { readonly startedAt: number, readonly sequence: number }>()
  let live: readonly LiveProxy[] = []
  let knownLeaderSince: number | undefined
  let gatherTimer: NodeJS.Timeout | undefined
  let policyVersion = -1
  let policy = NO_BUNDLE.failover
  const timer = setInterval(judgeAll, JUDGE_MS)

  function failoverPolicy (): FailoverPolicy {
    const { bundle } = node.state()
    const version = bundle?.version ?? 0
    if (version === policyVersion) return policy
    policyVersion = version
    policy = bundle === null ? NO_BUNDLE.failover : checkBundleText(bundle.text).unwrapOr(NO_BUNDLE).failover
    return policy
  }

  function leaseMs (): number {
    return opts.leaseMs ?? failoverPolicy().lease
  }

  /** Forgets what an earlier time as leader left. */
  function startTerm (): void {
    const since = node.leaderSince()
    if (since === knownLeaderSince) return
    knownLeaderSince = since
    leases.clear()
    live = []
    rounds.clear()
    busy.clear()
    assigning.clear()
    clearTimeout(gatherTimer)
    // Not at the next look only: after a restart of all, callers wait for the homes.
    if (since !== undefined) gatherTimer = setTimeout(judgeAll, gatherLeftMs(elapsedMs()) + 1)
  }

  function gatherLeftMs (now: number): number {
    return (node.leaderSince() ?? now) + (opts.gatherMs ?? 0) - now
  }

  function isSettled (now: number): boolean {
    const since = node.leaderSince()
    return since !== undefined && now - since > leaseMs() * (1 + DRIFT_RATIO) + opts.settleExtraMs
  }

  function judgeAll (): void {
    startTerm()
    if (!node.isReady()) return
    const holders = leases.live(elapsedMs())
    live = opts.host === undefined ? holders : reduceFitnessOnLeaderHost(opts.host, holders)
    for (const view of Object.values(node.state().views)) judge(view)
  }

  function judge (view: DatabaseView): void {
    const now = elapsedMs()
    if (busy.has(view.database) || gatherLeftMs(now) > 0) return
    const { lease: _lease, ...timing } = failoverPolicy()
    const judgement = judgeOne({
      now,
      view,
      holder: leases.liveProxy(view.home?.proxy, now),
      proxies: live,
      earlierLeasesExpired: isSettled(now),
      report: leases.report(view.database, view.home?.proxy, view.homeEpoch),
      homeCounts: countHomes(),
      findings: leases.findings(view.database),
      round: rounds.get(view.database),
    }, {
      refusedAfterMs: timing.refused_after,
      silentAfterMs: timing.silent_after,
      witnesses: timing.witnesses,
      witnessTimeoutMs: timing.witness_timeout,
    })
    if (judgement.round === undefined) rounds.delete(view.database)
    else rounds.set(view.database, judgement.round)
    for (const call of judgement.calls) {
      log('askWitness', { database: view.database, instance: call.request.instance, proxy: call.proxy })
      leases.ask(call.proxy, call.request)
      poke(call.proxy)
    }
    if (judgement.releaseHome && view.home !== null) {
      leases.askRelease(view.home.proxy, view.database)
      poke(view.home.proxy)
    }
    if (judgement.command !== undefined) run(view.database, view.database, judgement.command)
  }

  /** Homes of each proxy, those on their way through the log too, so that they can be spread. */
  function countHomes (): ReadonlyMap<string, number> {
    const counts = new Map<string, number>()
    for (const { database, home } of Object.values(node.state().views)) {
      const proxy = assigning.get(database) ?? home?.proxy
      if (proxy !== undefined) counts.set(proxy, (counts.get(proxy) ?? 0) + 1)
    }
    return counts
  }

  /** Puts a command through the log and pokes the database's home, old and new; others learn with their next renewal. */
  function run (key: string, database: string, command: ControlCommand): void {
    const before = node.state().views[database]?.home?.proxy
    busy.add(key)
    if (command.kind === 'assignHome') assigning.set(database, command.proxy)
    opts.metrics.count('events', command.kind)
    node.propose(command)
      .then(() => log(command.kind, { key, index: node.appliedIndex() }), (err) => log('proposeFailed', { key, reason: String(err) }))
      .finally(() => {
        busy.delete(key)
        if (command.kind === 'assignHome') assigning.delete(database)
        for (const proxy of new Set([before, node.state().views[database]?.home?.proxy])) poke(proxy)
      })
      .catch(() => {})
  }

  function poke (proxy: string | undefined): void {
    if (proxy !== undefined) leases.peerOf(proxy)?.notify('proxy.poke', {})
  }

  function pokeAll (): void {
    for (const lease of leases.all()) lease.peer.notify('proxy.poke', {})
  }

  function takeAnnouncement (announcement: Announcement): void {
    const key = `${announcement.database}/${announcement.instance}`
    const view = node.state().views[announcement.database]
    if (busy.has(key) || !isNews(announcement, view)) return
    run(key, announcement.database, { kind: 'joinTarget', announcement })
  }

  async function announce (announcement: Announcement): Promise<void> {
    const { database, instance, startedAt = 0, sequence = 0 } = announcement
    const key = `${database}/${instance}`
    const last = heard.get(key)
    const isOld = last !== undefined && (startedAt < last.startedAt || (startedAt === last.startedAt && sequence < last.sequence))
    if (isOld || !isNews(announcement, node.state().views[database])) return
    heard.set(key, { startedAt, sequence })
    await node.propose({ kind: 'joinTarget', announcement })
    log('announced', { database, instance, state: announcement.state, startedAt, sequence })
    poke(node.state().views[database]?.home?.proxy)
  }

  async function withdraw (instance: string): Promise<void> {
    const view = Object.values(node.state().views).find(({ members }) => members.some((member) => member.instance === instance))
    if (view === undefined) return
    const { database } = view
    const command: ControlCommand = view.primary === instance
      ? { kind: 'setTargetState', database, instance, state: 'leaving' }
      : { kind: 'removeTarget', database, instance }
    await node.propose(command)
    log('withdrawn', { database, instance, command: command.kind })
    poke(view.home?.proxy)
  }

  return {
    renew (request, peer) {
      startTerm()
      if (!node.isReady()) return { kind: 'notLeader', leader: node.leaderAddress() }
      const now = elapsedMs()
      leases.grant(request, peer, now, leaseMs())
      for (const announcement of request.announcements) takeAnnouncement(announcement)
      for (const { database } of [...request.homes, ...request.witnessed]) {
        const view = node.state().views[database]
        if (view !== undefined) judge(view)
      }
      const { bundle, routes } = node.state()
      const views = () => Object.values(node.state().views)
      return {
        kind: 'granted',
        leaseMs: leaseMs(),
        ...selectViews(request, { views, appliedIndex: node.appliedIndex(), maxViews: MAX_VIEWS }),
        bundle: bundle !== null && bundle.version > request.bundleVersion ? bundle : null,
        routes: request.routesVersion === undefined || routes === null ? null : recentRoutes.updateFor(request.routesVersion, routes.table),
        controls: opts.controls?.(),
        witness: leases.takeRequests(request.proxy),
        release: leases.takeReleases(request.proxy),
      }
    },
    announce,
    withdraw,
    isSettled: () => isSettled(elapsedMs()),
    pokeAll,
    leases: () => leases,
    failoverPolicy,
    async close () {
      clearInterval(timer)
      clearTimeout(gatherTimer)
    },
  }
}
