import {
  type Address,
  type ControlCommand,
  type DatabaseView,
  hasReached,
  type HomeAssignment,
  type HomeReport,
  type Member,
  type Reachability,
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
  /** Relative capacity of its VM for homes, from 0 to 1; absent for 1. */
  readonly homeFitness?: number
  /** True while it gets too little processor time for its homes; false if absent. */
  readonly overloaded?: boolean
  /** True while, and for some seconds after, it is overloaded; false if absent. */
  readonly recentlyOverloaded?: boolean
  /** Number of homes whose capacity is kept for other work on its VM; 0 if absent. */
  readonly reservedHomes?: number
  /** Start of its present lease, renewals included, in ms on the leader's monotonic clock. */
  readonly leasedSince?: number
}

/** The result of a witness's probe, with the time of its arrival in ms on the leader's monotonic clock. */
export interface WitnessFinding extends WitnessReport {
  readonly proxy: string
  readonly at: number
}

/** A round of witness probes of one target in one term. */
export interface WitnessRound {
  readonly instance: string
  readonly term: number
  /** Time of the first requests to witnesses, in ms on the leader's monotonic clock. */
  readonly requestedAt: number
}

/** Input of the decision about one database; times are in ms on the leader's monotonic clock. */
export interface StepInput {
  readonly now: number
  readonly view: DatabaseView
  /** The home named in the view; undefined if its lease has expired. */
  readonly holder: LiveProxy | undefined
  /** Proxies whose lease is valid or has only just expired; homes and witnesses are chosen from them. */
  readonly proxies: readonly LiveProxy[]
  /** True once every lease that an earlier leader may have granted has expired. */
  readonly earlierLeasesExpired: boolean
  /** The latest report of the home in the view for the view's epoch; undefined if there is none. */
  readonly report: HomeReport | undefined
  readonly findings: readonly WitnessFinding[]
  /** The current round of witness probes; undefined if there is none. */
  readonly round: WitnessRound | undefined
  /** False if the configuration does not name the database; absent if there are no such configurations. */
  readonly isConfigured?: boolean
  /** Number of homes of each proxy; absent if homes are not balanced. */
  readonly homeCounts?: ReadonlyMap<string, number>
  /** Time since which this node leads; absent if homes are assigned whatever their fitness. */
  readonly leaderSince?: number
  /** Time since which the leader has known the present home; undefined if the home may not be moved now. */
  readonly homeSince?: number
  /**
   * Time of the latest announcement of a target that reached this leader, -Infinity if none did; absent if targets announce
   * themselves to control only when something changes.
   */
  readonly announcedAt?: (instance: string) => number
  /** True if a target has said that it leaves and no process of it that serves has announced itself since. */
  readonly hasWithdrawn?: (instance: string) => boolean
}

/** Time limits of failure detection, in ms, and number of witnesses. */
export interface StepPolicy {
  /** Time after which a primary that refuses connections counts as lost. */
  readonly refusedAfterMs: number
  /** Time after which a primary that does not respond counts as lost. */
  readonly silentAfterMs: number
  /** Number of proxies asked to probe a suspected primary. */
  readonly witnesses: number
  /** Time to wait for the findings of all witnesses. */
  readonly witnessTimeoutMs: number
}

/** A function that decides the next step of one database. */
export type DecideStep = (input: StepInput, policy: StepPolicy) => DatabaseStep

/** A request to a proxy, the witness, to probe a target that the home does not reach. */
export interface WitnessCall {
  readonly proxy: string
  readonly request: WitnessRequest
}

/** Why a database gets a home: it had none, or its home released it, has restarted, or has no valid lease. */
export type HomeChangeReason = 'noHome' | 'released' | 'restarted' | 'leaseExpired'

/** What an assignment of a home was decided from, for the log. */
export interface HomeChoiceInputs {
  readonly reason: HomeChangeReason
  readonly proxy: string
  /** Fitness of the chosen proxy, and its homes before this one. */
  readonly fitness: number
  readonly homes: number
  readonly previous: string | undefined
  /** Number of proxies to choose from, and the highest fitness among them. */
  readonly candidates: number
  readonly highestFitness: number
}

/** Why a home is moved: another VM is far fitter, or its own VM is overloaded and a comparable one is not. */
export type HomeMoveReason = 'fitter' | 'overloaded'

/** A planned move of a home, with the inputs of the decision for the log. */
export interface HomeMove {
  readonly reason: HomeMoveReason
  readonly from: string
  /** The proxy that is expected to be the next home; it is chosen anew once the home is released. */
  readonly to: string
  /** Fitness per home of both VMs with this home. */
  readonly fromScore: number
  readonly toScore: number
}

/** What the removal of a target was decided from, for the log. */
export interface RemovalInputs {
  readonly instance: string
  readonly reachability: Reachability
  /** Time since its last response to the home, in ms, as the home reports it. */
  readonly silentMs: number
  /** Time for which it can't have announced itself, in ms; absent if announcements are not counted. */
  readonly unannouncedMs?: number
  /** True if it has said that it leaves. */
  readonly hasWithdrawn: boolean
}

/** The next step of control for a database. */
export interface DatabaseStep {
  /** Command to propose; absent for none. */
  readonly command?: ControlCommand
  /** What the command was decided from, if it assigns a home. */
  readonly homeChoice?: HomeChoiceInputs
  /** What the command was decided from, if it removes a target. */
  readonly removal?: RemovalInputs
  readonly calls: readonly WitnessCall[]
  /** The round of witness probes to keep for the next decision. */
  readonly round: WitnessRound | undefined
  /** True if the home is asked to release the database: it does not reach a primary that a witness reaches, or it is moved. */
  readonly releaseHome: boolean
  /** The move for which the home is asked to release the database; absent for none. */
  readonly homeMove?: HomeMove
}

/** Time after which an unreachable target is removed from the view, in ms. */
export const TARGET_REMOVAL_MS = 30_000

/** Fraction of `refusedAfterMs` or `silentAfterMs` after which an unreachable primary is suspected. */
const SUSPICION_FRACTION = 0.5

/** Fitness of a VM with full capacity for homes. */
const FULL_FITNESS = 1

/** The step that does nothing. */
export const NO_STEP: DatabaseStep = { calls: [], round: undefined, releaseHome: false }

const STEP_DECIDERS: { readonly [S in DatabaseView['state']]: (input: StepInput, policy: StepPolicy) => DatabaseStep } = {
  forming: decideFormingStep,
  open: decideOpenStep,
  promoting: decidePromotingStep,
}

/** Decides the next step of one database: assigns a new home if one is needed, otherwise acts on the state of the view. */
export function decideDatabaseStep (input: StepInput, policy: StepPolicy): DatabaseStep {
  return decideHomeStep(input) ?? STEP_DECIDERS[input.view.state](input, policy)
}

/** A step that only proposes a command. */
export function commandStep (command: ControlCommand): DatabaseStep {
  return { ...NO_STEP, command }
}

/**
 * Assigns a home to a database whose home has no valid lease, has released the database or has restarted. Returns undefined
 * if the home stays, and an empty step if a new one may not or cannot be assigned yet.
 */
export function decideHomeStep (input: StepInput, choose: HomeChoice = chooseHome): DatabaseStep | undefined {
  const { view, proxies } = input
  const reason = homeChangeReason(input)
  if (reason === undefined) return undefined
  if (reason === 'leaseExpired' && !input.earlierLeasesExpired) return NO_STEP
  const next = choose(view, proxies, view.home?.proxy, input.homeCounts)
  if (next === undefined) return NO_STEP
  const { proxy, linkAddress: address, homeFitness: fitness } = next
  const assignment = { database: view.database, fromEpoch: view.homeEpoch, proxy, address }
  const command: ControlCommand = { kind: 'assignHome', ...assignment, ...fitness === undefined ? {} : { fitness } }
  return { ...commandStep(command), homeChoice: describeHomeChoice(input, reason, next) }
}

/** Why the database needs a home; undefined while its home holds it. */
function homeChangeReason ({ view: { home }, holder, proxies, report }: StepInput): HomeChangeReason | undefined {
  if (report?.released === true) return 'released'
  if (home !== null && isHomeRestarted(home, proxies)) return 'restarted'
  if (holder !== undefined) return undefined
  return home === null ? 'noHome' : 'leaseExpired'
}

function describeHomeChoice ({ view, proxies, homeCounts }: StepInput, reason: HomeChangeReason, next: LiveProxy): HomeChoiceInputs {
  const candidates = proxies.filter(({ leaving }) => !leaving)
  return {
    reason,
    proxy: next.proxy,
    fitness: fitnessOf(next),
    homes: homeCounts?.get(next.proxy) ?? 0,
    previous: view.home?.proxy,
    candidates: candidates.length,
    highestFitness: Math.max(...candidates.map(fitnessOf)),
  }
}

/** Fitness of a proxy's VM for homes, from 0 to 1. */
export function fitnessOf ({ homeFitness = FULL_FITNESS }: LiveProxy): number {
  return homeFitness
}

/** True if a later process of the same proxy listens at the home's address: the home has exited, even if its lease is still valid. */
function isHomeRestarted (home: HomeAssignment, proxies: readonly LiveProxy[]): boolean {
  return proxies.some(({ proxy, linkAddress }) => isLaterProcess(proxy, linkAddress, home.proxy, home.address))
}

/** True if both are processes of the same proxy at the same address, but different ones. Names are `name#incarnation`. */
export function isLaterProcess (proxy: string, address: Address, earlier: string, earlierAddress: Address): boolean {
  const isSameAddress = address.host === earlierAddress.host && address.port === earlierAddress.port
  return isSameAddress && proxy !== earlier && proxy.split('#')[0] === earlier.split('#')[0]
}

/** A function that chooses the home of a database; undefined if no proxy can be one. */
export type HomeChoice = (
  view: DatabaseView,
  proxies: readonly LiveProxy[],
  previous: string | undefined,
  homeCounts: ReadonlyMap<string, number> | undefined
) => LiveProxy | undefined

/** Chooses a home by rendezvous hashing; prefers proxies other than the previous home, then those in the primary's data centre. */
export function chooseHome (view: DatabaseView, proxies: readonly LiveProxy[], previous: string | undefined): LiveProxy | undefined {
  const otherProxies = proxies.filter((proxy) => !proxy.leaving && proxy.proxy !== previous)
  const eligible = otherProxies.length > 0 ? otherProxies : proxies.filter((proxy) => !proxy.leaving)
  const primaryDataCentre = view.members.find((member) => member.instance === view.primary)?.dataCentre
  const sameDataCentre = eligible.filter((proxy) => proxy.dataCentre === primaryDataCentre)
  return rankByScore(sameDataCentre.length > 0 ? sameDataCentre : eligible, view.database)[0]
}

/** Sorts proxies by their rendezvous score, so that few databases move when a proxy joins or leaves. */
function rankByScore (proxies: readonly LiveProxy[], database: string): readonly LiveProxy[] {
  return proxies
    .map((proxy) => ({ proxy, score: rendezvousScore(proxy.proxy, database) }))
    .sort((a, b) => b.score - a.score)
    .map(({ proxy }) => proxy)
}

/** Opens a new database under the reachable target that reports itself as primary in the highest term, if there is exactly one. */
export function decideFormingStep ({ view, report }: StepInput): DatabaseStep {
  const primaries = (report?.targets ?? []).filter((target) => target.role === 'primary' && target.reachability === 'ok')
  const term = Math.max(0, ...primaries.map((target) => target.term))
  const current = primaries.filter((target) => target.term === term)
  if (current.length !== 1) return NO_STEP
  return commandStep({ kind: 'open', database: view.database, term, primary: current[0].instance, inSync: [] })
}

function decidePromotingStep ({ view, report }: StepInput): DatabaseStep {
  if (report?.term !== view.term || report.promoted === null) return NO_STEP
  return commandStep({ kind: 'open', database: view.database, term: view.term, primary: report.promoted, inSync: [] })
}

function decideOpenStep (input: StepInput, policy: StepPolicy): DatabaseStep {
  const { view, report } = input
  if (report === undefined || report.term !== view.term) return NO_STEP
  const primary = report.targets.find((target) => target.instance === view.primary)
  if (primary !== undefined && silenceFraction(primary, policy) >= SUSPICION_FRACTION) return decideSuspectStep(input, primary, policy)
  const mustReplace = isLeaving(view, view.primary) || (primary !== undefined && hasLostPrimaryRole(primary, view))
  if (mustReplace && hasPromotableReplica(view, report)) {
    return commandStep({ kind: 'freeze', database: view.database, fromTerm: view.term })
  }
  return decideMembershipStep(input, report)
}

/** True if the target answers, but not as primary of the view's term: it was restarted or demoted, and no witness is needed. */
function hasLostPrimaryRole (target: TargetReport, view: DatabaseView): boolean {
  return target.reachability === 'ok' && (target.role !== 'primary' || target.term < view.term)
}

function isLeaving (view: DatabaseView, instance: string | null): boolean {
  return view.members.some((member) => member.instance === instance && member.state === 'leaving')
}

/** True if a reachable in-sync replica holds every acknowledged write and is not leaving. */
function hasPromotableReplica (view: DatabaseView, report: HomeReport): boolean {
  return report.targets.some((target) =>
    view.inSync.includes(target.instance) && target.reachability === 'ok' &&
    !isLeaving(view, target.instance) && hasReached(target.position, report.committed))
}

/** Time for which a target has been unreachable, as a fraction of the time limit after which it counts as lost; 0 if it is reachable. */
function silenceFraction (target: TargetReport, policy: StepPolicy): number {
  if (target.reachability === 'refused') return target.silentMs / policy.refusedAfterMs
  return target.reachability === 'silent' ? target.silentMs / policy.silentAfterMs : 0
}

function decideMembershipStep ({ view }: StepInput, report: HomeReport): DatabaseStep {
  const wanted = report.wantInSync
  if (wanted !== null && wanted.join() !== view.inSync.join()) {
    return commandStep({ kind: 'setInSync', database: view.database, term: view.term, inSync: wanted })
  }
  const removable = report.targets.find((target) => isRemovable(target, view))
  return removable === undefined ? NO_STEP : removalStep(view.database, removable)
}

/** A step that removes an unreachable target from the view. */
export function removalStep (
  database: string,
  { instance, reachability, silentMs }: TargetReport,
  { hasWithdrawn = false, unannouncedMs }: Partial<Pick<RemovalInputs, 'hasWithdrawn' | 'unannouncedMs'>> = {}
): DatabaseStep {
  const removal = { instance, reachability, silentMs, hasWithdrawn, ...unannouncedMs === undefined ? {} : { unannouncedMs } }
  const command: ControlCommand = { kind: 'removeTarget', database, instance, ...hasWithdrawn ? { hasLeft: true } : {} }
  return { ...commandStep(command), removal }
}

/** True if a target that is neither primary nor in sync has been unreachable for longer than `TARGET_REMOVAL_MS`. */
export function isRemovable (target: TargetReport, view: DatabaseView): boolean {
  if (target.instance === view.primary || view.inSync.includes(target.instance)) return false
  return target.reachability !== 'ok' && target.silentMs > TARGET_REMOVAL_MS
}

/** Asks witnesses as soon as the primary is suspected, so that their findings are available once it counts as lost. */
function decideSuspectStep (input: StepInput, primary: TargetReport, policy: StepPolicy): DatabaseStep {
  const { view, report, now } = input
  if (report === undefined || !hasPromotableReplica(view, report)) return NO_STEP
  const sameRound = input.round?.instance === primary.instance && input.round.term === view.term
  const round = sameRound && input.round !== undefined ? input.round : { instance: primary.instance, term: view.term, requestedAt: now }
  const member = view.members.find((candidate) => candidate.instance === primary.instance)
  const witnesses = chooseWitnesses(input, member, policy.witnesses)
  const findings = input.findings.filter((finding) =>
    finding.instance === primary.instance && finding.term === view.term && finding.at >= round.requestedAt)
  if (silenceFraction(primary, policy) < 1) return { calls: sameRound ? [] : callsTo(witnesses, view, member), round, releaseHome: false }
  if (findings.some((finding) => finding.reachable)) return { calls: [], round: undefined, releaseHome: true }
  const isTimedOut = now - round.requestedAt >= policy.witnessTimeoutMs
  const hasEnoughFindings = findings.length >= Math.min(policy.witnesses, witnesses.length)
  if (hasEnoughFindings || (isTimedOut && mayDecideOnTimeout(findings, witnesses))) {
    return commandStep({ kind: 'freeze', database: view.database, fromTerm: view.term })
  }
  return { calls: sameRound ? [] : callsTo(witnesses, view, member), round, releaseHome: false }
}

/**
 * True if, after the timeout, the decision may be made without the missing findings: at least one witness has answered, or there
 * are no witnesses. If none of them answers, this data centre may be partitioned from the others, and it must not promote by itself.
 */
function mayDecideOnTimeout (findings: readonly WitnessFinding[], witnesses: readonly LiveProxy[]): boolean {
  return findings.length > 0 || witnesses.length === 0
}

function callsTo (witnesses: readonly LiveProxy[], view: DatabaseView, member: Member | undefined): readonly WitnessCall[] {
  if (member === undefined) return []
  const request = { database: view.database, instance: member.instance, term: view.term, address: member.address }
  return witnesses.map(({ proxy }) => ({ proxy, request }))
}

/** Chooses proxies other than the home; prefers those outside the home's data centre and those in the target's. */
function chooseWitnesses ({ view, holder, proxies }: StepInput, member: Member | undefined, count: number): readonly LiveProxy[] {
  const others = proxies.filter((proxy) => proxy.proxy !== view.home?.proxy)
  const separation = (proxy: LiveProxy) => Number(proxy.dataCentre !== holder?.dataCentre) + Number(proxy.dataCentre === member?.dataCentre)
  return [...rankByScore(others, view.database)].sort((a, b) => separation(b) - separation(a)).slice(0, count)
}
