import fs from 'node:fs'
import path from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { type Address, type DatabaseView, formatAddress, type RateLimitTolerance } from '@briarpick/types'
import { type RaftStatus } from '@briarpick/consensus-agreement'
import { initDataFolder, syncFolder } from '@briarpick/consensus-log'
import { createLeaderResponder } from '@briarpick/control-finder'
import { createKernel, type Service } from '@briarpick/kernel'
import { createLogger } from '@briarpick/logs'
import { createMetrics, type Metrics } from '@briarpick/metrics'
import { createRpcServer, type RpcHandlers } from '@briarpick/rpc'
import { type ClusterFounding, type ClusterFoundingStatus, createClusterFounding, FOUNDING_METHOD } from './createClusterFounding.js'
import { type ControlApi, createControlApi } from './createControlApi.js'
import { type ControlDirectory, createControlDirectory, LEADER_NOTICE_METHOD } from './createControlDirectory.js'
import { createControlRelay } from './createControlRelay.js'
import { createMemberHandlers } from './createMemberHandlers.js'
import { type PromoteCall } from './createPromoter.js'
import { readFirstStartMark, removeFirstStartMark } from './firstStartMark.js'
import { type FoundingPart, openFounding } from './openFounding.js'
import { checkLeaderRequest, checkLeaderResponse } from './requestSchemas.js'
import { retryWhileDiskFull } from './retryWhileDiskFull.js'
import { type ControlMember, isVoter, leaderNoticeOf, memberAddresses, startControlMember } from './startControlMember.js'

/** Options of a control daemon that finds its cluster through seed nodes. */
export interface SeededControlOptions {
  /** Address at which other daemons reach this one. The IP address is the node's name, and all nodes use the same port. */
  readonly listen: Address
  /** Folder on a persistent disk; without one, the daemon only forwards requests. */
  readonly dataFolder: string | undefined
  /** Returns the seed nodes; called each time, since settings may change. */
  readonly seeds: () => readonly Address[]
  /** True on the first start of the whole system; the machines with a disk then choose the initial voters through the seeds. */
  readonly isFirstStart: boolean
  /** Number of voters that the cluster should have. */
  readonly votersWanted: number
  /** Tolerance of the limits of teams; absent if this deployment keeps none. */
  readonly rateLimits?: RateLimitTolerance
  /** Largest difference between the clocks of two machines, in ms; absent if starts in the future are accepted. */
  readonly maxClockSkewMs?: number
  /** Calls the platform to promote a target. */
  readonly promote: PromoteCall
  /** Called on an error after which the daemon can't continue. */
  readonly onFatal: (err: unknown) => void
  /** Source of random numbers, uniform in [0, 1); Math.random if absent. */
  readonly random?: () => number
}

/** A running control daemon of a seeded cluster. */
export interface SeededControl extends Service, ControlApi {
  readonly address: Address
  readonly metrics: Metrics
}

/** Time on shutdown for the leadership transfer message to be sent, in ms. */
const TRANSFER_GRACE_MS = 100
const log = createLogger('control')

/** Starts a control daemon of a seeded cluster; it takes part in consensus if it has a data folder, from the founding of the cluster on. */
export async function startSeededControl (opts: SeededControlOptions): Promise<SeededControl> {
  const kernel = createKernel()
  const metrics = createMetrics()
  const { host, port } = opts.listen
  const addressOf = (name: string): Address => ({ host: name, port })
  let member: ControlMember | undefined
  let isClosing = false
  const directory = await kernel.start<ControlDirectory>('directory', () => createControlDirectory({
    self: opts.listen,
    seeds: opts.seeds,
    members: () => memberAddresses(member, addressOf),
    ownNotice: () => leaderNoticeOf(member, addressOf),
    isVoter: () => member !== undefined && isVoter(member),
    metrics,
  }))
  const relay = createControlRelay(directory)
  const folder = opts.dataFolder === undefined ? undefined : await createNodeFolder(opts.dataFolder)
  const part = await retryWhileDiskFull(() => openPart(opts, folder))
  const founding = await kernel.start<ClusterFounding>('founding', () => createClusterFounding({
    name: host,
    part,
    addressOf,
    hasLeader: () => directory.current().leader !== null,
    random: opts.random ?? Math.random,
    metrics,
  }))
  const startMember = async (dataFolder: string): Promise<ControlMember> =>
    await startControlMember({ kernel, name: host, metrics, addressOf, directory, founding, folder: dataFolder, daemon: opts })
  if (folder !== undefined && !part.isCandidate) member = await startMember(folder)
  const { maxClockSkewMs } = opts
  const api = createControlApi({ member: () => member, relay, maxClockSkewMs })
  const leaderResponder = createLeaderResponder({ self: opts.listen, current: directory.current })
  const handlers: RpcHandlers = {
    ...folder === undefined ? {} : createMemberHandlers({ member: () => isClosing ? undefined : member, maxClockSkewMs }),
    [FOUNDING_METHOD]: founding.respond,
    'control.leader': (raw: unknown) => leaderResponder.respond(checkLeaderRequest(raw)),
    [LEADER_NOTICE_METHOD]: (raw: unknown) => {
      directory.learn(checkLeaderResponse(raw))
      return true
    },
    'control.status': () => statusOf(host, founding, member),
    'metrics.read': () => metrics.snapshot(),
  }
  metrics.gauge('leads', () => Number(member?.node.isReady() === true))
  metrics.gauge('storage_writable', () => Number(member?.node.isStorageWritable() !== false))
  metrics.gauge('routes_version', () => member?.node.state().routes?.table.version ?? -1)
  const server = await kernel.start('rpc', async () => await createRpcServer({ listen: opts.listen, handlers }))
  member?.node.onReachable()
  log('started', { node: member?.id ?? (part.isCandidate ? 'candidate' : 'relay'), listen: formatAddress(server.address), firstStart: opts.isFirstStart })
  if (folder !== undefined && part.isCandidate) becomeMember(folder).catch(opts.onFatal)

  /** Starts the member of this daemon once it is known whether it is an initial voter. */
  async function becomeMember (dataFolder: string): Promise<void> {
    const outcome = await founding.decided
    if (outcome.kind === 'initialVoter') await retryWhileDiskFull(() => initDataFolder(dataFolder, host, outcome.voters))
    if (isClosing) return
    member = await startMember(dataFolder)
    member.node.onReachable()
    log('memberStarted', { node: member.id, as: outcome.kind })
  }

  return {
    address: server.address,
    metrics,
    ...api,
    async close () {
      member?.node.transfer()
      await sleep(TRANSFER_GRACE_MS)
      isClosing = true
      relay.close()
      await kernel.close()
    },
  }
}

/** Opens the part of this daemon in the founding; a mark of the first start stands for settings that no longer tell of it. */
function openPart (opts: SeededControlOptions, folder: string | undefined): FoundingPart {
  const markedSeeds = opts.dataFolder === undefined ? undefined : readFirstStartMark(opts.dataFolder)
  const part = openFounding({
    name: opts.listen.host,
    seeds: markedSeeds ?? opts.seeds().map((seed) => seed.host),
    folder,
    isFirstStart: opts.isFirstStart || markedSeeds !== undefined,
  })
  if (opts.dataFolder !== undefined) removeFirstStartMark(opts.dataFolder)
  return part
}

/** Creates the folder of the control node, so that it survives a loss of power. */
async function createNodeFolder (dataFolder: string): Promise<string> {
  const folder = path.join(dataFolder, 'control')
  await retryWhileDiskFull(() => {
    fs.mkdirSync(folder, { recursive: true })
    syncFolder(dataFolder)
  })
  return folder
}

/** Status of a daemon of a seeded cluster, and of its node if it is a member. */
export interface SeededControlStatus {
  readonly host: string
  readonly founding: ClusterFoundingStatus
  readonly agreement?: RaftStatus
  readonly ready?: boolean
  readonly storageWritable?: boolean
  readonly views?: readonly DatabaseView[]
}

function statusOf (host: string, founding: ClusterFounding, member: ControlMember | undefined): SeededControlStatus {
  if (member === undefined) return { host, founding: founding.status() }
  const { node } = member
  return {
    host,
    founding: founding.status(),
    agreement: node.status(),
    ready: node.isReady(),
    storageWritable: node.isStorageWritable(),
    views: Object.values(node.state().views),
  }
}
