import { type DatabaseView, type PromotionRequest, type ViewState } from '@briarpick/types'
import { decidePromotion, type ReplacementReason, type PrimaryHealth, type PromotionCandidate, type PromotionDecision } from '@briarpick/failover'
import { createLogger } from '@briarpick/logs'
import { type Metrics } from '@briarpick/metrics'
import { type AckHistory } from './createAckHistory.js'
import { type GroupTarget, type TargetGroup } from './createTargetGroup.js'

/** Time after which a primary that refuses connections is replaced, in ms: three tries, so that one reset is no loss. */
const REFUSED_AFTER_MS = 120
/** Time after which a primary that answers nothing is replaced, in ms: a status question and a new connection in vain. */
const SILENT_AFTER_MS = 560
/** Time after which a primary that answers but acknowledges no write is replaced, in ms. */
const STUCK_AFTER_MS = 700
/** Time after which a primary that alone can serve, and cannot serve all, gives way, in ms: no short burst or lag lasts so long. */
const STARVED_AFTER_MS = 1000
/** A replica that needs longer than this for its data, in ms, takes no work for longer than a change of primary and its gain need. */
const FAR_BEHIND_MS = 2500
/** Time between two changes of a primary that is well, in ms. */
const STARVED_AGAIN_MS = 20_000
const LOSS_TIMING = {
  refusedAfterMs: REFUSED_AFTER_MS,
  silentAfterMs: SILENT_AFTER_MS,
  stuckAfterMs: STUCK_AFTER_MS,
  starvedAfterMs: STARVED_AFTER_MS,
}
/** Losses of a primary that still serves: work at work is let end first. */
const PLANNED: ReadonlySet<ReplacementReason> = new Set(['leaving', 'starved'])
/** Time in which a new home learns about its targets, in ms. */
export const STARTING_MS = 1000
/** Time that open transactions have before a planned replacement of the primary, in ms. */
const PLANNED_WAIT_MS = 400
/** Usual time from the request for a promotion until the successor serves, in ms: two log entries and the platform's part. */
const PROMOTION_MS = 800
/** Shortest time after which a caller is told to come back for a primary, in ms: a look at the promoted target. */
const MIN_EXPECTED_MS = 50
/** Time between two orders to step down to the same target, in ms. */
const STEP_DOWN_AGAIN_MS = 300
const log = createLogger('home')

/** Options of the judge of a home's primary. */
export interface PrimaryJudgeOptions {
  readonly database: string
  /** When the home began, in ms of its clock. */
  readonly startedAt: number
  readonly now: () => number
  readonly view: () => DatabaseView
  readonly group: () => TargetGroup
  readonly history: AckHistory
  readonly metrics: Metrics
  /** Time for which writes at work had no answer, in ms. */
  readonly stuckMs: () => number
  /** Statements that wait for a slot. */
  readonly waiting: () => number
  /** True while a write or a transaction that may write is at work. */
  readonly isWriting: () => boolean
  /** Called when the primary was given up. */
  readonly onReplace: () => void
  /** Asks for an early report. */
  readonly tellNews: () => void
}

/** Decides when the primary is replaced and by which target; the promotion itself is control's. */
export interface PrimaryJudge {
  /** Judges what is known now; called while the home may act. */
  look: () => void
  /** Called when the process stood still: what it missed meanwhile proves nothing. */
  noteStall: () => void
  /** Called with a new view. */
  noteView: () => void
  /** True from the request for a promotion on, until the view has the next term. */
  isReplacing: () => boolean
  /** True while writes rest before a planned replacement. */
  isLeaving: () => boolean
  /** Time until a successor is expected, in ms; undefined if none is on its way. */
  expectedMs: () => number | undefined
  /** What speaks against the primary. */
  loss: () => string | undefined
  promotion: () => PromotionRequest | null
  /** The target that leads a term at least as high as the one to be opened. */
  promoted: () => GroupTarget | undefined
}

/** Creates the judge of a home that begins. */
export function createPrimaryJudge (opts: PrimaryJudgeOptions): PrimaryJudge {
  const { database, startedAt, now, view, group, history } = opts
  const steppedDownAt = new Map<string, number>()
  let promotion: PromotionRequest | undefined
  let leavingSince: number | undefined
  let replacingSince: number | undefined
  let quietSince = startedAt
  let lastLoss: string | undefined
  let starvedSince: number | undefined
  let givenWayAt = -Infinity

  const isReplacing = () => promotion?.fromTerm === view().term

  function findingOf (target: GroupTarget): PrimaryHealth {
    const { silentSince, refusedSince, reachability, role, term } = target.watch.knowledge()
    return {
      instance: target.member.instance,
      state: target.member.state,
      silentMs: silentSince === undefined ? 0 : now() - Math.max(silentSince, quietSince),
      refusedMs: refusedSince === undefined ? 0 : now() - Math.max(refusedSince, quietSince),
      isDemoted: reachability === 'ok' && role !== null && (role !== 'primary' || term < view().term),
      stuckMs: Math.min(opts.stuckMs(), now() - quietSince),
      starvedMs: starvedSince === undefined ? 0 : now() - starvedSince,
    }
  }

  /** While it gives way, its queue may be short for once. */
  function noteStarving (primary: GroupTarget | undefined): void {
    if (leavingSince !== undefined && starvedSince !== undefined) return
    const isStarving = primary !== undefined && opts.waiting() > primary.lane.slots() && isAlone() && now() - givenWayAt > STARVED_AGAIN_MS
    starvedSince = isStarving ? starvedSince ?? now() : undefined
  }

  /** True if there are replicas, and all are far behind. */
  function isAlone (): boolean {
    const replicas = group().readCandidates().filter(({ isPrimary }) => !isPrimary)
    return replicas.length > 0 && replicas.every(({ lagMs }) => lagMs > FAR_BEHIND_MS)
  }

  function candidateOf (target: GroupTarget): PromotionCandidate {
    const { received, statusAskedAt } = target.watch.knowledge()
    return {
      instance: target.member.instance,
      state: target.member.state,
      isLiveReplica: group().isLiveReplica(target),
      received,
      statusAskedAt,
    }
  }

  function decide (primary: GroupTarget | undefined, others: readonly GroupTarget[]): PromotionDecision {
    return decidePromotion({
      primary: primary === undefined ? undefined : findingOf(primary),
      others: others.map(candidateOf),
      acknowledged: history.isFloorKnown() ? history.latest() : undefined,
      homeExclusiveSince: startedAt,
      copies: view().members.length,
    }, LOSS_TIMING)
  }

  function judgePrimary (): void {
    if (isReplacing()) {
      opts.tellNews()
      return
    }
    const primary = group().primary()
    if (primary === undefined && now() - startedAt < STARTING_MS) return
    noteStarving(primary)
    const decision = decide(primary, [...group().all()].filter((target) => target !== primary))
    noteLoss(decision.kind === 'keep' ? undefined : `${decision.kind} ${decision.loss}`)
    if (decision.kind !== 'promote') {
      leavingSince = undefined
      return
    }
    if (PLANNED.has(decision.loss) && !isReadyToLeave()) return
    replace(decision.heir, decision.loss)
  }

  function noteLoss (loss: string | undefined): void {
    if (loss === lastLoss) return
    lastLoss = loss
    const primary = group().primary()
    const finding = primary === undefined ? {} : describe(findingOf(primary))
    log('judgePrimary', { database, term: view().term, primary: view().primary, decision: loss ?? 'keep', ...finding })
  }

  /** Before a planned replacement, no new writes start and those at work end. */
  function isReadyToLeave (): boolean {
    leavingSince ??= now()
    return now() - leavingSince > PLANNED_WAIT_MS || !opts.isWriting()
  }

  /** From here on nothing is acknowledged under the present term. */
  function replace (heir: string, loss: string): void {
    log('askPromotion', { database, term: view().term, primary: view().primary, heir, loss })
    opts.metrics.count('events', `promotion_asked_${loss}`)
    promotion = { fromTerm: view().term, heir }
    replacingSince = now()
    if (loss === 'starved') givenWayAt = now()
    starvedSince = undefined
    group().primary()?.lane.abandon()
    opts.onReplace()
    opts.tellNews()
  }

  function watchPromotion (): void {
    if (promoted() !== undefined) {
      opts.tellNews()
      return
    }
    const { heir: name } = view()
    const heir = typeof name === 'string' ? group().get(name) : undefined
    if (heir === undefined || isLost(heir)) judgeHeir()
  }

  function isLost (target: GroupTarget): boolean {
    const { silentMs, refusedMs } = findingOf(target)
    return refusedMs >= REFUSED_AFTER_MS || silentMs >= SILENT_AFTER_MS
  }

  /** The heir was lost before it led: another one is named by the same rule. */
  function judgeHeir (): void {
    const decision = decide(undefined, [...group().all()].filter((target) => target.member.instance !== view().heir))
    if (decision.kind !== 'promote' || isReplacing()) return
    log('askPromotion', { database, term: view().term, heir: decision.heir, loss: 'heir' })
    promotion = { fromTerm: view().term, heir: decision.heir }
    opts.tellNews()
  }

  function promoted (): GroupTarget | undefined {
    return [...group().all()].find(({ watch }) => {
      const { reachability, role, term } = watch.knowledge()
      return reachability === 'ok' && role === 'primary' && term >= view().term
    })
  }

  function orderStepDown (): void {
    for (const { member, watch } of group().all()) {
      const { reachability, role, term } = watch.knowledge()
      if (member.instance === view().primary || reachability !== 'ok' || role !== 'primary' || term >= view().term) continue
      if (now() - (steppedDownAt.get(member.instance) ?? -Infinity) < STEP_DOWN_AGAIN_MS) continue
      steppedDownAt.set(member.instance, now())
      log('stepDown', { database, instance: member.instance, term: view().term, heldTerm: term })
      watch.stepDown(view().term)
    }
  }

  /** What is judged in each state of the view. */
  const LOOKS: Readonly<Record<ViewState, () => void>> = {
    forming: opts.tellNews,
    open () {
      judgePrimary()
      orderStepDown()
    },
    promoting: watchPromotion,
  }

  return {
    look: () => LOOKS[view().state](),
    noteStall () {
      quietSince = now()
    },
    noteView () {
      if (view().state === 'open') leavingSince = undefined
    },
    isReplacing,
    isLeaving: () => leavingSince !== undefined,
    expectedMs () {
      if (leavingSince !== undefined && !isReplacing()) return PLANNED_WAIT_MS + PROMOTION_MS
      if (replacingSince === undefined || (!isReplacing() && view().state !== 'promoting')) return undefined
      const left = PROMOTION_MS - (now() - replacingSince)
      return left < -PROMOTION_MS ? undefined : Math.max(left, MIN_EXPECTED_MS)
    },
    loss: () => lastLoss,
    promotion: () => isReplacing() ? promotion ?? null : null,
    promoted,
  }
}

function describe (finding: PrimaryHealth): Readonly<Record<string, string | number | boolean>> {
  const { silentMs, refusedMs, stuckMs, isDemoted, state } = finding
  return { silentMs: Math.round(silentMs), refusedMs: Math.round(refusedMs), stuckMs: Math.round(stuckMs), isDemoted, state }
}
