import {
  type DatabaseView,
  hasReached,
  type HomeReport,
  type Member,
  type TargetReport,
} from '@briarpick/types'
import {
  commandStep,
  type DatabaseStep,
  type LiveProxy,
  NO_STEP,
  type StepInput,
  type StepPolicy,
  type WitnessCall,
  type WitnessFinding,
} from './databaseStep.js'
import { decideHomeStep, rankByScore } from './decideHomeStep.js'
import { isRemovable, removalStep } from './decideRemovalStep.js'

/** Fraction of `refusedAfterMs` or `silentAfterMs` after which an unreachable primary is suspected. */
const SUSPICION_FRACTION = 0.5

const STEP_DECIDERS: { readonly [S in DatabaseView['state']]: (input: StepInput, policy: StepPolicy) => DatabaseStep } = {
  forming: decideFormingStep,
  open: decideOpenStep,
  promoting: decidePromotingStep,
}

/** Decides the next step of one database: assigns a new home if one is needed, otherwise acts on the state of the view. */
export function decideDatabaseStep (input: StepInput, policy: StepPolicy): DatabaseStep {
  return decideHomeStep(input) ?? STEP_DECIDERS[input.view.state](input, policy)
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
