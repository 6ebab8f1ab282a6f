import {
  type Address,
  type ControlCommand,
  type DatabaseView,
  hasReached,
  type HomeAssignment,
  type HomeReport,
  type Member,
  type TargetReport,
  type WitnessReport,
  type WitnessRequest,
} from '@briarpick/types'
import { rendezvousScore } from './rendezvousScore.js'

/** A proxy that holds a lease. */
export interface LiveProxy {
  readonly proxy: string
  readonly dataCentre: string
  readonly linkAddress: Address
  readonly leaving: boolean
  /** How well its VM can carry homes, from 0 to 1; absent for 1. */
  readonly homeFitness?: number
}

/** A witness's finding and when it came. */
export interface WitnessFinding extends WitnessReport {
  readonly proxy: string
  readonly at: number
}

/** When control first asked witnesses about a target. */
export interface WitnessRound {
  readonly instance: string
  readonly term: number
  readonly askedAt: number
}

/** All that a judgement rests on; times in ms on the leader's monotonic clock. */
export interface StepInput {
  readonly now: number
  readonly view: DatabaseView
  /** The home in the view, while its lease holds. */
  readonly holder: LiveProxy | undefined
  /** Proxies whose lease holds or held just now; those that may be chosen. */
  readonly proxies: readonly LiveProxy[]
  /** True once every lease that an earlier leader may have granted has run out. */
  readonly earlierLeasesExpired: boolean
  /** The report of the home in the view, under the view's epoch; undefined if there is none. */
  readonly report: HomeReport | undefined
  readonly findings: readonly WitnessFinding[]
  readonly round: WitnessRound | undefined
  /** Homes of each proxy now; absent if homes need not be spread. */
  readonly homeCounts?: ReadonlyMap<string, number>
}

/** Timing of the judgement. */
export interface StepPolicy {
  readonly refusedAfterMs: number
  readonly silentAfterMs: number
  readonly witnesses: number
  readonly witnessTimeoutMs: number
}

/** Decides the next step of one database, or none. */
export type DecideStep = (input: StepInput, policy: StepPolicy) => DatabaseStep

/** A request to a proxy to look at a target. */
export interface WitnessCall {
  readonly proxy: string
  readonly request: WitnessRequest
}

/** What control should do about a database. */
export interface DatabaseStep {
  readonly command?: ControlCommand
  readonly calls: readonly WitnessCall[]
  readonly round: WitnessRound | undefined
  /** True if the home should give the database up, since others reach the primary and it does not. */
  readonly releaseHome: boolean
}

/** A target that no home reached for this long leaves the view, in ms. */
export const TARGET_REMOVAL_MS = 30_000

/** Part of the time to a loss after which a silent target is suspected. */
const SUSPICION = 0.5

/** No step. */
export const NO_STEP: DatabaseStep = { calls: [], round: undefined, releaseHome: false }

const JUDGES: { readonly [S in DatabaseView['state']]: (input: StepInput, policy: StepPolicy) => DatabaseStep } = {
  forming: decideFormingStep,
  open: judgeOpen,
  promoting: judgePromoting,
}

/** Decides the next step of one database, or none. */
export function decideDatabaseStep (input: StepInput, policy: StepPolicy): DatabaseStep {
  return decideHomeStep(input) ?? JUDGES[input.view.state](input, policy)
}

/** A command and nothing else. */
export function commandStep (command: ControlCommand): DatabaseStep {
  return { ...NO_STEP, command }
}

/** Gives a database a home if it has none that holds a lease; undefined if its home stays. */
export function decideHomeStep (input: StepInput, choose: HomeChoice = chooseHome): DatabaseStep | undefined {
  const { view, holder, proxies, report } = input
  const home = view.home
  const isReleased = report?.released === true || (home !== null && isRestarted(home, proxies))
  if (holder !== undefined && !isReleased) return undefined
  if (!isReleased && home !== null && !input.earlierLeasesExpired) return NO_STEP
  const next = choose(view, proxies, home?.proxy, input.homeCounts)
  if (next === undefined) return NO_STEP
  return commandStep({ kind: 'assignHome', database: view.database, fromEpoch: view.homeEpoch, proxy: next.proxy, address: next.linkAddress })
}

/** True if a later process of the same proxy serves at the home's address: the one that was the home has ended, whatever its lease. */
function isRestarted (home: HomeAssignment, proxies: readonly LiveProxy[]): boolean {
  return proxies.some(({ proxy, linkAddress }) => isLaterProcess(proxy, linkAddress, home.proxy, home.address))
}

/** True if both are processes of one proxy on one address, and not the same one. Names are `name#incarnation`. */
export function isLaterProcess (proxy: string, address: Address, earlier: string, earlierAddress: Address): boolean {
  const isSamePlace = address.host === earlierAddress.host && address.port === earlierAddress.port
  return isSamePlace && proxy !== earlier && proxy.split('#')[0] === earlier.split('#')[0]
}

/** Chooses a proxy to be the home of a database. */
export type HomeChoice = (
  view: DatabaseView,
  proxies: readonly LiveProxy[],
  previous: string | undefined,
  homesOf: ReadonlyMap<string, number> | undefined
) => LiveProxy | undefined

/** Rendezvous hashing over the live proxies, those in the primary's data centre first. */
export function chooseHome (view: DatabaseView, proxies: readonly LiveProxy[], previous: string | undefined): LiveProxy | undefined {
  const staying = proxies.filter((proxy) => !proxy.leaving && proxy.proxy !== previous)
  const eligible = staying.length > 0 ? staying : proxies.filter((proxy) => !proxy.leaving)
  const place = view.members.find((member) => member.instance === view.primary)?.dataCentre
  const near = eligible.filter((proxy) => proxy.dataCentre === place)
  return byScore(near.length > 0 ? near : eligible, view.database)[0]
}

/** Proxies in the order of rendezvous hashing, which moves few databases when proxies come and go. */
function byScore (proxies: readonly LiveProxy[], database: string): readonly LiveProxy[] {
  return proxies
    .map((proxy) => ({ proxy, score: rendezvousScore(proxy.proxy, database) }))
    .sort((a, b) => b.score - a.score)
    .map(({ proxy }) => proxy)
}

/** Opens a new database under the primary that its targets name. */
export function decideFormingStep ({ view, report }: StepInput): DatabaseStep {
  const primaries = (report?.targets ?? []).filter((target) => target.role === 'primary' && target.reachability === 'ok')
  const term = Math.max(0, ...primaries.map((target) => target.term))
  const current = primaries.filter((target) => target.term === term)
  if (current.length !== 1) return NO_STEP
  return commandStep({ kind: 'open', database: view.database, term, primary: current[0].instance, inSync: [] })
}

function judgePromoting ({ view, report }: StepInput): DatabaseStep {
  if (report?.term !== view.term || report.promoted === null) return NO_STEP
  return commandStep({ kind: 'open', database: view.database, term: view.term, primary: report.promoted, inSync: [] })
}

function judgeOpen (input: StepInput, policy: StepPolicy): DatabaseStep {
  const { view, report } = input
  if (report === undefined || report.term !== view.term) return NO_STEP
  const primary = report.targets.find((target) => target.instance === view.primary)
  if (primary !== undefined && silence(primary, policy) >= SUSPICION) return judgeSuspect(input, primary, policy)
  const mustReplace = isLeaving(view, view.primary) || (primary !== undefined && isNoPrimary(primary, view))
  if (mustReplace && hasHeir(view, report)) {
    return commandStep({ kind: 'freeze', database: view.database, fromTerm: view.term })
  }
  return judgeMembers(input, report)
}

/** A target that answers but has not the view's term as primary was restarted or demoted: it says so itself, no witness is needed. */
function isNoPrimary (target: TargetReport, view: DatabaseView): boolean {
  return target.reachability === 'ok' && (target.role !== 'primary' || target.term < view.term)
}

function isLeaving (view: DatabaseView, instance: string | null): boolean {
  return view.members.some((member) => member.instance === instance && member.state === 'leaving')
}

/** True if a replica that holds every acknowledged write can take over. */
function hasHeir (view: DatabaseView, report: HomeReport): boolean {
  return report.targets.some((target) =>
    view.inSync.includes(target.instance) && target.reachability === 'ok' &&
    !isLeaving(view, target.instance) && hasReached(target.position, report.committed))
}

/** How long a target has not answered, as a part of the time after which it counts as lost. */
function silence (target: TargetReport, policy: StepPolicy): number {
  if (target.reachability === 'refused') return target.silentMs / policy.refusedAfterMs
  return target.reachability === 'silent' ? target.silentMs / policy.silentAfterMs : 0
}

function judgeMembers ({ view }: StepInput, report: HomeReport): DatabaseStep {
  const wanted = report.wantInSync
  if (wanted !== null && wanted.join() !== view.inSync.join()) {
    return commandStep({ kind: 'setInSync', database: view.database, term: view.term, inSync: wanted })
  }
  const gone = report.targets.find((target) => isRemovable(target, view))
  return gone === undefined ? NO_STEP : commandStep({ kind: 'removeTarget', database: view.database, instance: gone.instance })
}

/** True if a target that the view does not need has been unreachable for long. */
export function isRemovable (target: TargetReport, view: DatabaseView): boolean {
  if (target.instance === view.primary || view.inSync.includes(target.instance)) return false
  return target.reachability !== 'ok' && target.silentMs > TARGET_REMOVAL_MS
}

/** Witnesses are asked on suspicion, so that their findings are there once the primary counts as lost. */
function judgeSuspect (input: StepInput, primary: TargetReport, policy: StepPolicy): DatabaseStep {
  const { view, report, now } = input
  if (report === undefined || !hasHeir(view, report)) return NO_STEP
  const sameRound = input.round?.instance === primary.instance && input.round.term === view.term
  const round = sameRound && input.round !== undefined ? input.round : { instance: primary.instance, term: view.term, askedAt: now }
  const member = view.members.find((candidate) => candidate.instance === primary.instance)
  const witnesses = chooseWitnesses(input, member, policy.witnesses)
  const findings = input.findings.filter((finding) =>
    finding.instance === primary.instance && finding.term === view.term && finding.at >= round.askedAt)
  if (silence(primary, policy) < 1) return { calls: sameRound ? [] : callsTo(witnesses, view, member), round, releaseHome: false }
  if (findings.some((finding) => finding.reachable)) return { calls: [], round: undefined, releaseHome: true }
  const isTimedOut = now - round.askedAt >= policy.witnessTimeoutMs
  const isAgreed = findings.length >= Math.min(policy.witnesses, witnesses.length)
  if (isAgreed || (isTimedOut && mayDecideWithout(findings, witnesses))) {
    return commandStep({ kind: 'freeze', database: view.database, fromTerm: view.term })
  }
  return { calls: sameRound ? [] : callsTo(witnesses, view, member), round, releaseHome: false }
}

/** A cut-off data centre must not promote by itself: without any finding, nobody else could be asked. */
function mayDecideWithout (findings: readonly WitnessFinding[], witnesses: readonly LiveProxy[]): boolean {
  return findings.length > 0 || witnesses.length === 0
}

function callsTo (witnesses: readonly LiveProxy[], view: DatabaseView, member: Member | undefined): readonly WitnessCall[] {
  if (member === undefined) return []
  const request = { database: view.database, instance: member.instance, term: view.term, address: member.address }
  return witnesses.map(({ proxy }) => ({ proxy, request }))
}

/** Proxies other than the home, those in other data centres than the home's first. */
function chooseWitnesses ({ view, holder, proxies }: StepInput, member: Member | undefined, count: number): readonly LiveProxy[] {
  const others = proxies.filter((proxy) => proxy.proxy !== view.home?.proxy)
  const distance = (proxy: LiveProxy) => Number(proxy.dataCentre !== holder?.dataCentre) + Number(proxy.dataCentre === member?.dataCentre)
  return [...byScore(others, view.database)].sort((a, b) => distance(b) - distance(a)).slice(0, count)
}
