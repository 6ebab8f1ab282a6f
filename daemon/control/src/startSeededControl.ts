import fs from 'node:fs'
import path from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { type Address, type Announcement, type ControlCommand, formatAddress, type RouteTableDocument, type RouteTableVerdict } from '@briarpick/types'
import { packRoutes, unpackRoutes } from '@briarpick/routes'
import { checkAnnouncement } from '@briarpick/membership'
import { decidePlatformGroupStep } from '@briarpick/failover'
import { createLeaderAnswers } from '@briarpick/control-finder'
import { createKernel, type Service } from '@briarpick/kernel'
import { createLogger } from '@briarpick/logs'
import { createMetrics, type Metrics } from '@briarpick/metrics'
import { createRpcServer, type Peer, type RpcHandlers } from '@briarpick/rpc'
import { initDataFolder, openIdentity, openLogFile } from '@briarpick/consensus-log'
import { createControlNode, type ControlNode, notLeader } from './createControlNode.js'
import { createControlRelay, type ControlRelay } from './createControlRelay.js'
import { createLeaderDuties, type LeaderDuties } from './createLeaderDuties.js'
import { createPromoter, type PromoteCall } from './createPromoter.js'
import { findFirstVoters, HAS_DISK_METHOD } from './findFirstVoters.js'
import { createVoterKeeper, type VoterKeeper } from './createVoterKeeper.js'
import { nameOf } from './nextVoters.js'
import { checkAgreementEnvelope, checkJoinRequest, checkLeaderRequest, checkRenewRequest } from './requestSchemas.js'

/** Options of a control daemon that finds its cluster by seeds. */
export interface SeededControlOptions {
  /** Where other daemons reach this one; the IP number names the node, and all nodes use the same port. */
  readonly listen: Address
  /** Folder on a disk; without one, the daemon only passes requests on. */
  readonly dataFolder: string | undefined
  /** Control nodes to ask; read anew each time, since settings change. */
  readonly seeds: () => readonly Address[]
  /** True if the whole system starts for the first time: the seeds with a disk are then the first voters. */
  readonly isFirstStart: boolean
  /** Voters that the cluster should have. */
  readonly votersWanted: number
  readonly promote: PromoteCall
  readonly onFatal: (err: unknown) => void
  readonly random?: () => number
}

/** What operators and targets ask of any control daemon, whoever leads. */
export interface ControlApi {
  /** Resolves once the routes are stored by a quorum, or a version at least as high already was. */
  submitRoutes: (routes: RouteTableDocument) => Promise<RouteTableVerdict>
  /** The newest routes, as a confirmed leader holds them; fails if none can be reached. */
  readRoutes: () => Promise<RouteTableDocument | null>
  /** Resolves once control knows what a target says of itself. */
  announce: (announcement: Announcement) => Promise<void>
  withdraw: (instance: string) => Promise<void>
}

/** A running control daemon. */
export interface SeededControl extends Service, ControlApi {
  readonly address: Address
  readonly metrics: Metrics
}

/** Timing of agreement, in ms: an election ends well before a lease runs out, and a stall of 4 heartbeats causes none. */
const TIMING = { heartbeatMs: 60, electionMinMs: 260, electionMaxMs: 460 }
/** Length of leases, in ms: an election, and two renewals that fail before the one that finds the new leader. */
const LEASE_MS = 1000
/** Time in which most proxies renew at a new leader, in ms: their question has its answer within 10, and they start with some delay. */
const GATHER_MS = 50
/** Time for the order to the next leader to leave, in ms. */
const TRANSFER_MS = 100
/** An announcement that changes nothing is passed on again after this time, in ms. */
const REPEAT_ANNOUNCEMENT_MS = 5000
const log = createLogger('control')

/** Starts a control daemon. */
export async function startSeededControl (opts: SeededControlOptions): Promise<SeededControl> {
  const kernel = createKernel()
  const metrics = createMetrics()
  const { port } = opts.listen
  const addressOf = (name: string): Address => ({ host: name, port })
  let member: Member | undefined
  const relay = createControlRelay({ contacts: () => contacts(), self: opts.listen })

  function contacts (): readonly Address[] {
    return [...opts.seeds(), ...memberAddresses(member, addressOf)]
  }

  if (opts.dataFolder !== undefined) member = await startMember(kernel, opts, { metrics, addressOf, relay })
  const api = createApi(member, relay)
  const leaderAnswers = createLeaderAnswers({
    self: opts.listen,
    current: () => ({
      leader: member?.node.isReady() === true ? opts.listen : member?.node.leaderAddress() ?? null,
      controls: memberAddresses(member, addressOf),
    }),
  })
  const handlers: RpcHandlers = {
    ...member === undefined ? {} : memberHandlers(member, opts.listen.host),
    [HAS_DISK_METHOD]: () => opts.dataFolder !== undefined,
    'control.leader': (raw: unknown) => leaderAnswers.answer(checkLeaderRequest(raw)),
    'metrics.read': () => metrics.snapshot(),
  }
  metrics.gauge('leads', () => Number(member?.node.isReady() === true))
  metrics.gauge('routes_version', () => member?.node.state().routes?.table.version ?? -1)
  const server = await kernel.start('rpc', async () => await createRpcServer({ listen: opts.listen, handlers }))
  log('started', { node: member?.id ?? 'relay', listen: formatAddress(server.address), firstStart: opts.isFirstStart })
  return {
    address: server.address,
    metrics,
    ...api,
    async close () {
      member?.node.transfer()
      await sleep(TRANSFER_MS)
      relay.close()
      await kernel.close()
    },
  }
}

interface Member {
  readonly id: string
  readonly node: ControlNode
  readonly duties: LeaderDuties
  readonly keeper: VoterKeeper
}

interface MemberContext {
  readonly metrics: Metrics
  readonly addressOf: (name: string) => Address
  readonly relay: ControlRelay
}

async function startMember (
  kernel: ReturnType<typeof createKernel>,
  opts: SeededControlOptions,
  { metrics, addressOf, relay }: MemberContext
): Promise<Member> {
  const name = opts.listen.host
  const folder = path.join(opts.dataFolder ?? '', 'control')
  fs.mkdirSync(folder, { recursive: true })
  const seeds = opts.seeds()
  if (opts.isFirstStart && seeds.some(({ host }) => host === name) && fs.readdirSync(folder).length === 0) {
    initDataFolder(folder, name, await findFirstVoters(seeds, opts.listen))
  }
  const identity = openIdentity(folder, name)
  const logFile = openLogFile<ControlCommand>(folder, identity.firstSnapshot)
  if (logFile.truncatedBytes > 0) log('cutTornTail', { bytes: logFile.truncatedBytes })
  const node = await kernel.start<ControlNode>('node', () => createControlNode({
    id: identity.id,
    addressOf,
    logFile,
    timing: TIMING,
    random: opts.random ?? Math.random,
    onFatal: opts.onFatal,
    // No message of an earlier process can have been heard since this one began.
    quietMs: performance.now(),
  }))
  const controls = () => memberAddresses({ node }, addressOf)
  const duties = await kernel.start<LeaderDuties>('duties', () => createLeaderDuties({
    node, metrics, settleExtraMs: 0, leaseMs: LEASE_MS, gatherMs: GATHER_MS, judge: decidePlatformGroupStep, controls, host: name,
  }))
  await kernel.start('promoter', () => createPromoter({
    node, holder: name, call: opts.promote, isSettled: duties.isSettled, metrics,
  }))
  const keeper = await kernel.start<VoterKeeper>('voters', () => createVoterKeeper({
    node, wanted: opts.votersWanted, contacts: () => relay.known(),
  }))
  return { id: identity.id, node, duties, keeper }
}

function memberAddresses (member: Pick<Member, 'node'> | undefined, addressOf: (name: string) => Address): readonly Address[] {
  if (member === undefined) return []
  const { voters, learners } = member.node.status().voters
  return [...voters, ...learners].map((id) => addressOf(nameOf(id)))
}

function memberHandlers ({ id, node, duties, keeper }: Member, host: string): RpcHandlers {
  const leaderOnly = <P, R>(handle: (params: P) => R) => (params: P): R => {
    if (!node.isReady()) throw notLeader(node.leaderAddress())
    return handle(params)
  }
  return {
    'agreement.message': (raw: unknown, peer: Peer) => {
      const { from, to, message } = checkAgreementEnvelope(raw)
      if (to === id) node.receive(from, message, peer)
    },
    'control.join': (raw: unknown) => keeper.join(checkJoinRequest(raw).id),
    'control.renew': (raw: unknown, peer: Peer) => duties.renew(checkRenewRequest(raw), peer),
    'control.status': () => ({ host, agreement: node.status(), ready: node.isReady(), views: Object.values(node.state().views) }),
    'routes.submit': leaderOnly(async ({ packed }: PackedRoutes) => await submitRoutes({ node, duties }, unpackRoutes(packed), packed)),
    'routes.read': leaderOnly((): PackedRoutes | null => {
      const { routes } = node.state()
      return routes === null ? null : { packed: packRoutes(routes) }
    }),
    'targets.announce': leaderOnly(async (raw: unknown) => {
      const announcement = checkAnnouncement(raw)
      if (announcement.isErr) throw announcement.error
      await duties.announce(announcement.value)
      return true
    }),
    'targets.withdraw': leaderOnly(async ({ instance }: { readonly instance: string }) => {
      await duties.withdraw(instance)
      return true
    }),
  }
}

/** Routes on their way between control nodes. */
interface PackedRoutes {
  readonly packed: string
}

async function submitRoutes (
  { node, duties }: Pick<Member, 'node' | 'duties'>,
  routes: RouteTableDocument,
  packed: string
): Promise<RouteTableVerdict> {
  const { version } = routes.table
  const holding = node.state().routes?.table.version ?? -1
  if (version <= holding) return { kind: 'superseded', version, holdingVersion: holding }
  const outcome = await node.propose({ kind: 'submitRoutes', packed })
  if (outcome.kind !== 'routes') throw notLeader(node.leaderAddress())
  log('routes', { version, verdict: outcome.verdict.kind, routes: routes.table.routes.length })
  duties.pokeAll()
  return outcome.verdict
}

/** Serves requests here while this node leads, and passes them on otherwise. */
function createApi (member: Member | undefined, relay: ControlRelay): ControlApi {
  const passedOn = new Map<string, { readonly news: string, readonly at: number }>()
  const leads = () => member?.node.isReady() === true

  /** What is worth telling the leader: all but the sequence, which grows with each announcement. */
  function newsOf (announcement: Announcement): string {
    return JSON.stringify({ ...announcement, sequence: 0 })
  }

  return {
    async submitRoutes (routes) {
      const packed = packRoutes(routes)
      if (member !== undefined && leads()) return await submitRoutes(member, routes, packed)
      return await relay.ask('routes.submit', { packed })
    },
    async readRoutes () {
      if (member !== undefined && leads()) return member.node.state().routes
      const answer = await relay.ask<PackedRoutes | null>('routes.read', {})
      return answer === null ? null : unpackRoutes(answer.packed)
    },
    async announce (announcement) {
      const { instance } = announcement
      const news = newsOf(announcement)
      const last = passedOn.get(instance)
      if (last?.news === news && performance.now() - last.at < REPEAT_ANNOUNCEMENT_MS) return
      if (member !== undefined && leads()) await member.duties.announce(announcement)
      else await relay.ask('targets.announce', announcement)
      passedOn.set(instance, { news, at: performance.now() })
    },
    async withdraw (instance) {
      passedOn.delete(instance)
      if (member !== undefined && leads()) await member.duties.withdraw(instance)
      else await relay.ask('targets.withdraw', { instance })
    },
  }
}
