import { type Address, type ControlCommand } from '@briarpick/types'
import { openIdentity, openLogFile } from '@briarpick/consensus-log'
import { type LeaderResponse } from '@briarpick/control-finder'
import { decidePlatformGroupStep } from '@briarpick/failover'
import { type Kernel } from '@briarpick/kernel'
import { createLogger } from '@briarpick/logs'
import { type Metrics } from '@briarpick/metrics'
import { type ClusterFounding } from './createClusterFounding.js'
import { type ControlDirectory } from './createControlDirectory.js'
import { createControlNode, type ControlNode } from './createControlNode.js'
import { createLeaderDuties, type LeaderDuties } from './createLeaderDuties.js'
import { createPromoter } from './createPromoter.js'
import { createVoterReconciler, type VoterReconciler } from './createVoterReconciler.js'
import { nodeName } from './nextVoters.js'
import { retryWhileDiskFull } from './retryWhileDiskFull.js'
import { type SeededControlOptions } from './startSeededControl.js'

/** Consensus timing, in ms: an election ends well before a lease expires, and a stall of 4 heartbeats causes no election. */
const CONSENSUS_TIMING = { heartbeatMs: 60, electionMinMs: 260, electionMaxMs: 460 }
/** Lease duration, in ms; covers an election and two failed renewals before the one that reaches the new leader. */
const LEASE_MS = 1000
/**
 * Time within which most proxies renew with a new leader, in ms: their pending leader requests get a response within 10 ms, and
 * the renewals start with some delay.
 */
const RENEWAL_WINDOW_MS = 50
const log = createLogger('control')

/** The parts of a daemon that takes part in consensus. */
export interface ControlMember {
  readonly id: string
  readonly node: ControlNode
  readonly duties: LeaderDuties
  readonly voterReconciler: VoterReconciler
}

/** Options of the member of a control daemon. */
export interface ControlMemberOptions {
  readonly kernel: Kernel
  /** Name of this daemon. */
  readonly name: string
  readonly metrics: Metrics
  readonly addressOf: (name: string) => Address
  readonly directory: ControlDirectory
  readonly founding: ClusterFounding
  /** Folder of the control node. */
  readonly folder: string
  readonly daemon: Pick<SeededControlOptions, 'votersWanted' | 'rateLimits' | 'promote' | 'onFatal' | 'random'>
}

/** Starts the member with the identity in its folder; a folder without one gets a new identity, which has no vote. */
export async function startControlMember (memberOpts: ControlMemberOptions): Promise<ControlMember> {
  const { kernel, name, metrics, addressOf, directory, founding, folder, daemon: opts } = memberOpts
  const identity = await retryWhileDiskFull(() => openIdentity(folder, name))
  const { voters } = identity.firstSnapshot.voters
  if (voters.includes(identity.id)) founding.announce(voters.map(nodeName))
  const logFile = await retryWhileDiskFull(() => openLogFile<ControlCommand>(folder, identity.firstSnapshot))
  if (logFile.truncatedBytes > 0) log('tornRecordTruncated', { bytes: logFile.truncatedBytes })
  const node = await kernel.start<ControlNode>('node', () => createControlNode({
    id: identity.id,
    addressOf,
    logFile,
    timing: CONSENSUS_TIMING,
    random: opts.random ?? Math.random,
    onFatal: opts.onFatal,
    // This process can't have heard from a leader before this point, so its uptime counts as time without one.
    leaderlessMs: performance.now(),
  }))
  const controls = () => memberAddresses({ node }, addressOf)
  const duties = await kernel.start<LeaderDuties>('duties', () => createLeaderDuties({
    node,
    metrics,
    leaseExpiryMarginMs: 0,
    leaseMs: LEASE_MS,
    renewalWindowMs: RENEWAL_WINDOW_MS,
    decideStep: decidePlatformGroupStep,
    controls,
    host: name,
    rateLimits: opts.rateLimits,
  }))
  await kernel.start('promoter', () => createPromoter({
    node,
    holder: name,
    call: opts.promote,
    haveEarlierLeasesExpired: duties.haveEarlierLeasesExpired,
    reportOf: ({ database, home, homeEpoch }) => duties.leases().report(database, home?.proxy, homeEpoch),
    metrics,
  }))
  const voterReconciler = await kernel.start<VoterReconciler>('voters', () => createVoterReconciler({
    node, desiredVoters: opts.votersWanted, contacts: directory.contacts,
  }))
  return { id: identity.id, node, duties, voterReconciler }
}

/** Returns true if a member votes in the cluster of its log. */
export function isVoter ({ id, node }: ControlMember): boolean {
  return node.status().voters.voters.includes(id)
}

/** The leader notice of a member; undefined if it knows no leader. */
export function leaderNoticeOf (member: ControlMember | undefined, addressOf: (name: string) => Address): LeaderResponse | undefined {
  const leader = member?.node.leaderAddress() ?? null
  if (member === undefined || leader === null) return undefined
  return { leader, controls: memberAddresses(member, addressOf), term: member.node.status().term }
}

/** Addresses of the voters and learners in the log of a member, empty without one. */
export function memberAddresses (member: Pick<ControlMember, 'node'> | undefined, addressOf: (name: string) => Address): readonly Address[] {
  if (member === undefined) return []
  const { voters, learners } = member.node.status().voters
  return [...voters, ...learners].map((id) => addressOf(nodeName(id)))
}
