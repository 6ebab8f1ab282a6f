import { type DatabaseView, type PromotionRequest, type ViewState } from '@briarpick/types'
import {
  choosePromotionTarget,
  decidePromotion,
  holdsAllAcknowledged,
  type PrimaryHealth,
  type PromotionCandidate,
  type PromotionDecision,
  type PromotionInput,
  type ReplacementReason,
} from '@briarpick/failover'
import { createLogger } from '@briarpick/logs'
import { type Metrics } from '@briarpick/metrics'
import { type AckHistory } from './createAckHistory.js'
import { type GroupTarget, isPromoted, type TargetGroup } from './createTargetGroup.js'
import { createTermRaiser } from './createTermRaiser.js'
import { describePromotionInputs } from './describePromotionInputs.js'

/** Time after which a primary that refuses connections is replaced, in ms: three attempts, so that one reset is not taken for a failure. */
const REFUSED_AFTER_MS = 120
/** Time after which a primary that does not respond is replaced, in ms: covers a failed status probe and an attempt to reconnect. */
const SILENT_AFTER_MS = 560
/** Time after which a primary that responds but acknowledges no write is replaced, in ms. */
export const STUCK_AFTER_MS = 700
/** Time after which an overloaded primary is replaced if all replicas are far behind, in ms: longer than short bursts and lag spikes. */
const STARVED_AFTER_MS = 1000
/** Replica lag above which a switchover is worthwhile, in ms: it pays off before a replica with such a lag has caught up. */
const FAR_BEHIND_LAG_MS = 2500
/** Minimum time between two switchovers of a starved primary, in ms. */
const STARVED_COOLDOWN_MS = 20_000
const LOSS_TIMING = {
  refusedAfterMs: REFUSED_AFTER_MS,
  silentAfterMs: SILENT_AFTER_MS,
  stuckAfterMs: STUCK_AFTER_MS,
  starvedAfterMs: STARVED_AFTER_MS,
}
/** Reasons for a planned switchover: the primary still serves, so writes in flight may finish first. */
const SWITCHOVER_REASONS: ReadonlySet<ReplacementReason> = new Set(['leaving', 'starved'])
/** Time that a new home has to discover the state of its targets, in ms. */
export const STARTUP_MS = 1000
/** Time that writes and open transactions have to finish before a planned switchover, in ms. */
const SWITCHOVER_DRAIN_MS = 400
/** Time after which a planned switchover is given up if no replica is known to hold every acknowledged write by then, in ms. */
const SWITCHOVER_TIMEOUT_MS = 1000
/** Delay after a switchover that was given up before the next one stops writes, in ms. */
const SWITCHOVER_RETRY_MS = 2000
/** Fraction of a time limit in `LOSS_TIMING` after which the loss of the primary is in question. */
const DOUBT_FRACTION = 0.4
/** Minimum time between two rounds of probes for the received positions of all replicas, in ms. */
const POSITION_PROBE_INTERVAL_MS = 50
/** Usual time from the promotion request until the new primary serves, in ms: two consensus log entries and the platform's part. */
const USUAL_PROMOTION_MS = 800
/** Lower bound of the expected time until a new primary serves, in ms: the time to probe the promoted target. */
const MIN_EXPECTED_MS = 50
/** Minimum time between two step-down commands to the same target, in ms. */
const STEP_DOWN_RETRY_MS = 300
const log = createLogger('home')

/** Options of the primary monitor. */
export interface PrimaryMonitorOptions {
  readonly database: string
  /** Start time of the home, in ms of its clock. */
  readonly startedAt: number
  readonly now: () => number
  readonly view: () => DatabaseView
  readonly group: () => TargetGroup
  readonly history: AckHistory
  readonly metrics: Metrics
  /** Time for which writes have been waiting with no write answered, in ms. */
  readonly stuckMs: () => number
  /** Number of statements that wait for a slot. */
  readonly waiting: () => number
  /** True while a write is in flight or a read-write transaction is open. */
  readonly hasPendingWrites: () => boolean
  /** Called after the replacement of the primary was requested. */
  readonly onPromotionRequested: () => void
  /** Requests that the home reports early. */
  readonly requestReport: () => void
}

/** Decides when the primary is replaced and by which target, and requests its promotion; the control nodes carry it out. */
export interface PrimaryMonitor {
  /** Evaluates the current state; called while the home may act. */
  check: () => void
  /** Called after a pause of this process: responses missed during the pause don't count against the primary. */
  onStall: () => void
  /** Called after a new view is set. */
  onViewChange: () => void
  /** True from the promotion request until the view has the next term. */
  isReplacing: () => boolean
  /** True while a planned switchover is being prepared or carried out; no new writes start. */
  isSwitchingOver: () => boolean
  /** Expected time until a new primary serves, in ms; undefined if no replacement is in progress. */
  successorExpectedMs: () => number | undefined
  /** Last decision against the primary, such as `wait silent`; undefined if it is kept. */
  loss: () => string | undefined
  /** Pending promotion request of the view's term. */
  promotion: () => PromotionRequest | null
  /** Target that reports itself as primary of the view's term or a later one. */
  promotedTarget: () => GroupTarget | undefined
}

/** Creates the monitor of a home that starts now. */
export function createPrimaryMonitor (opts: PrimaryMonitorOptions): PrimaryMonitor {
  const { database, startedAt, now, view, group, history } = opts
  const stepDownSentAt = new Map<string, number>()
  /** The request for the view's term; without an heir while the requested one may have lost what it had received. */
  let promotion: { readonly fromTerm: number, readonly heir: string | undefined, readonly raisesTerm?: boolean } | undefined
  const termRaiser = createTermRaiser({ now, view, group })
  let switchoverSince: number | undefined
  let promotionRequestedAt: number | undefined
  let observingSince = startedAt
  let lastLoss: string | undefined
  let starvedSince: number | undefined
  let lastStarvedSwitchoverAt = -Infinity
  let switchoverAllowedAt = -Infinity
  let positionsProbedAt = -Infinity

  const isReplacing = () => promotion?.fromTerm === view().term && (promotion.raisesTerm !== true || view().state === 'promoting')

  function healthOf (target: GroupTarget): PrimaryHealth {
    const { silentSince, refusedSince, reachability, role, term } = target.prober.observation()
    return {
      instance: target.member.instance,
      state: target.member.state,
      silentMs: silentSince === undefined ? 0 : now() - Math.max(silentSince, observingSince),
      refusedMs: refusedSince === undefined ? 0 : now() - Math.max(refusedSince, observingSince),
      isDemoted: reachability === 'ok' && role !== null && (role !== 'primary' || term < view().term),
      stuckMs: Math.min(opts.stuckMs(), now() - observingSince),
      starvedMs: starvedSince === undefined ? 0 : now() - starvedSince,
    }
  }

  /** Once a switchover is being prepared, the primary still counts as starved when its queue becomes short. */
  function updateStarvation (primary: GroupTarget | undefined): void {
    if (switchoverSince !== undefined && starvedSince !== undefined) return
    const isStarving = primary !== undefined && opts.waiting() > primary.pool.slots() &&
      areReplicasFarBehind() && now() - lastStarvedSwitchoverAt > STARVED_COOLDOWN_MS
    starvedSince = isStarving ? starvedSince ?? now() : undefined
  }

  /** True if there are live replicas and all of them are far behind. */
  function areReplicasFarBehind (): boolean {
    const replicas = group().readCandidates(null).filter(({ isPrimary }) => !isPrimary)
    return replicas.length > 0 && replicas.every(({ lagMs }) => lagMs > FAR_BEHIND_LAG_MS)
  }

  function candidateOf (target: GroupTarget): PromotionCandidate {
    const { received, statusRequestedAt } = target.prober.observation()
    return {
      instance: target.member.instance,
      state: target.member.state,
      isLiveReplica: group().isLiveReplica(target),
      received,
      statusRequestedAt,
    }
  }

  function inputOf (primary: GroupTarget | undefined, others: readonly GroupTarget[]): PromotionInput {
    return {
      primary: primary === undefined ? undefined : healthOf(primary),
      others: others.map(candidateOf),
      acknowledged: history.isFloorKnown() ? history.latest() : undefined,
      provenAcknowledged: history.provenAcknowledged(),
      lastAcknowledgedAt: history.lastRecordedAt(),
      acknowledgedBeforeLoss: history.acknowledgedBeforeLoss(),
      homeExclusiveSince: startedAt,
      copies: view().members.length,
    }
  }

  function decide (primary: GroupTarget | undefined, others: readonly GroupTarget[]): PromotionDecision {
    return decidePromotion(inputOf(primary, others), LOSS_TIMING)
  }

  function checkPrimary (): void {
    if (isReplacing()) {
      reviewRequest()
      opts.requestReport()
      return
    }
    const primary = group().primary()
    if (primary === undefined && now() - startedAt < STARTUP_MS) return
    updateStarvation(primary)
    const replicas = [...group().all()].filter((target) => target !== primary)
    const decision = decide(primary, replicas)
    logDecisionChange(decision.kind === 'keep' ? undefined : `${decision.kind} ${decision.loss}`)
    if (decision.kind === 'wait' || (primary !== undefined && isInDoubt(healthOf(primary)))) probePositions(replicas)
    if (decision.kind === 'keep') switchoverSince = undefined
    else if (!SWITCHOVER_REASONS.has(decision.loss)) replacePrimary(decision)
    else if (isReadyToSwitchOver(decision, replicas)) replacePrimary(decision)
  }

  function replacePrimary (decision: PromotionDecision): void {
    if (decision.kind === 'promote') requestPromotion(decision.heir, decision.loss)
  }

  function isInDoubt ({ silentMs, refusedMs, stuckMs, isDemoted }: PrimaryHealth): boolean {
    return isDemoted || refusedMs > 0 || silentMs >= SILENT_AFTER_MS * DOUBT_FRACTION || stuckMs >= STUCK_AFTER_MS * DOUBT_FRACTION
  }

  /**
   * Asks the replicas whose known position may lack an acknowledged write. The answers are available once the primary counts as
   * lost, so that the promotion does not wait for the next periodic probes.
   */
  function probePositions (replicas: readonly GroupTarget[]): void {
    if (now() - positionsProbedAt < POSITION_PROBE_INTERVAL_MS) return
    positionsProbedAt = now()
    const askedSince = Math.max(startedAt, history.lastRecordedAt())
    for (const { prober } of replicas) if (prober.observation().statusRequestedAt < askedSince) prober.probeNow()
  }

  function logDecisionChange (loss: string | undefined): void {
    if (loss === lastLoss) return
    lastLoss = loss
    const primary = group().primary()
    const health = primary === undefined ? {} : healthFields(healthOf(primary))
    log('primaryDecision', { database, term: view().term, primary: view().primary, decision: loss ?? 'keep', ...health })
  }

  /**
   * Stops new writes, then waits a limited time for those in flight. Without new acknowledgements the next statuses of the replicas
   * show which of them holds every acknowledged write; if they do not, writes continue, and a later attempt is made.
   */
  function isReadyToSwitchOver (decision: PromotionDecision, replicas: readonly GroupTarget[]): boolean {
    if (switchoverSince === undefined) {
      const isProvable = decision.kind === 'promote' || replicas.every((target) => group().isLiveReplica(target))
      if (!isProvable || replicas.length === 0 || now() < switchoverAllowedAt) return false
      switchoverSince = now()
    }
    const elapsedMs = now() - switchoverSince
    if (decision.kind === 'wait' && elapsedMs > SWITCHOVER_TIMEOUT_MS) {
      switchoverSince = undefined
      switchoverAllowedAt = now() + SWITCHOVER_RETRY_MS
      return false
    }
    return elapsedMs > SWITCHOVER_DRAIN_MS || !opts.hasPendingWrites()
  }

  /** From here on, no write is acknowledged under the current term. */
  function requestPromotion (heir: string, loss: string): void {
    logRequest(heir, loss)
    opts.metrics.count('events', `promotion_asked_${loss}`)
    promotion = { fromTerm: view().term, heir }
    promotionRequestedAt = now()
    if (loss === 'starved') lastStarvedSwitchoverAt = now()
    starvedSince = undefined
    group().primary()?.pool.closeAll()
    opts.onPromotionRequested()
    opts.requestReport()
  }

  /** Until control has recorded the request, the requested heir may restart without its log; another one is requested then. */
  function reviewRequest (): void {
    const heir = promotion?.heir
    const target = heir === undefined ? undefined : group().get(heir)
    if (target !== undefined && isPromoted(target)) return
    const others = [...group().all()].filter((other) => other !== group().primary())
    const input = inputOf(undefined, others)
    if (target !== undefined && holdsAllAcknowledged(candidateOf(target), input)) return
    probePositions(others)
    const next = choosePromotionTarget(input)
    if (next === heir) return
    logRequest(next ?? null, 'heir')
    promotion = { fromTerm: view().term, heir: next }
  }

  function logRequest (heir: string | null, loss: string): void {
    const { term, primary } = view()
    log('promotionRequested', { database, term, primary, heir, loss, ...describePromotionInputs({ group: group(), history, startedAt, now: now() }) })
  }

  function checkPromotion (): void {
    if (findPromotedTarget() !== undefined) {
      opts.requestReport()
      return
    }
    const leader = termRaiser.leader()
    if (leader !== undefined) {
      raiseTerm(leader)
      return
    }
    if (promotion?.raisesTerm === true) {
      if (termRaiser.isPending()) return
      promotion = undefined
    }
    const { heir: name } = view()
    const heir = typeof name === 'string' ? group().get(name) : undefined
    if (heir === undefined || isUnreachable(heir)) replaceHeir()
  }

  /** Requests another promotion, which raises the platform's term by one. */
  function raiseTerm (leader: GroupTarget): void {
    const others = [...group().all()].filter((target) => target !== leader)
    probePositions(others)
    const heir = termRaiser.choose(leader, others.map(candidateOf))
    if (heir === undefined) return
    logRequest(heir, 'termBehind')
    promotion = { fromTerm: view().term, heir, raisesTerm: true }
    opts.requestReport()
  }

  function isUnreachable (target: GroupTarget): boolean {
    const { silentMs, refusedMs } = healthOf(target)
    return refusedMs >= REFUSED_AFTER_MS || silentMs >= SILENT_AFTER_MS
  }

  /** Requests another heir by the same rule if the heir failed before it became primary. */
  function replaceHeir (): void {
    const others = [...group().all()].filter((target) => target.member.instance !== view().heir)
    const decision = decide(undefined, others)
    if (decision.kind !== 'promote') probePositions(others)
    if (decision.kind !== 'promote' || isReplacing()) return
    logRequest(decision.heir, 'heir')
    promotion = { fromTerm: view().term, heir: decision.heir }
    opts.requestReport()
  }

  function findPromotedTarget (): GroupTarget | undefined {
    return [...group().all()].find((target) => isPromoted(target) && target.prober.observation().term >= view().term)
  }

  function demoteStalePrimaries (): void {
    for (const { member, prober } of group().all()) {
      const { reachability, role, term } = prober.observation()
      if (member.instance === view().primary || reachability !== 'ok' || role !== 'primary' || term >= view().term) continue
      if (now() - (stepDownSentAt.get(member.instance) ?? -Infinity) < STEP_DOWN_RETRY_MS) continue
      stepDownSentAt.set(member.instance, now())
      log('stepDownSent', { database, instance: member.instance, term: view().term, heldTerm: term })
      prober.stepDown(view().term)
    }
  }

  /** Checks by state of the view. */
  const CHECKS: Readonly<Record<ViewState, () => void>> = {
    forming: opts.requestReport,
    open () {
      checkPrimary()
      demoteStalePrimaries()
    },
    promoting: checkPromotion,
  }

  return {
    check: () => CHECKS[view().state](),
    onStall () {
      observingSince = now()
    },
    onViewChange () {
      if (view().state !== 'open') return
      switchoverSince = undefined
      termRaiser.clear()
    },
    isReplacing,
    isSwitchingOver: () => switchoverSince !== undefined,
    successorExpectedMs () {
      if (switchoverSince !== undefined && !isReplacing()) return SWITCHOVER_DRAIN_MS + USUAL_PROMOTION_MS
      if (promotionRequestedAt === undefined || (!isReplacing() && view().state !== 'promoting')) return undefined
      const remainingMs = USUAL_PROMOTION_MS - (now() - promotionRequestedAt)
      return remainingMs < -USUAL_PROMOTION_MS ? undefined : Math.max(remainingMs, MIN_EXPECTED_MS)
    },
    loss: () => lastLoss,
    promotion (): PromotionRequest | null {
      if (promotion?.heir === undefined || !isReplacing()) return null
      const { fromTerm, heir, raisesTerm } = promotion
      return { fromTerm, heir, ...raisesTerm === true ? { raisesTerm } : {} }
    },
    promotedTarget: findPromotedTarget,
  }
}

function healthFields (health: PrimaryHealth): Readonly<Record<string, string | number | boolean>> {
  const { silentMs, refusedMs, stuckMs, isDemoted, state } = health
  return { silentMs: Math.round(silentMs), refusedMs: Math.round(refusedMs), stuckMs: Math.round(stuckMs), isDemoted, state }
}
