import { setTimeout as sleep } from 'node:timers/promises'
import {
  type DatabaseView,
  type HomeReport,
  type LogPosition,
  ORIGIN,
  type PromotionRequest,
  type StatementFailure,
  statementFailure,
  type StatementRequest,
} from '@briarpick/types'
import { decidePromotion, type PrimaryFinding, type PromotionCandidate } from '@briarpick/failover'
import { createLogger } from '@briarpick/logs'
import { createAckHistory } from './createAckHistory.js'
import { createDispatcher } from './createDispatcher.js'
import { createStatementRunner, furthest } from './createStatementRunner.js'
import { createTargetGroup, type GroupTarget } from './createTargetGroup.js'
import { createTransactions } from './createTransactions.js'
import { type HomeContext } from './homeContext.js'
import { type StatementHome, type StatementHomeOptions } from './statementHomeTypes.js'

/** Time after which a primary that refuses connections is replaced, in ms: three tries, so that one reset is no loss. */
const REFUSED_AFTER_MS = 120
/** Time after which a primary that answers nothing is replaced, in ms: a status question and a new connection in vain. */
const SILENT_AFTER_MS = 560
/** Time after which a primary that answers but acknowledges no write is replaced, in ms. */
const STUCK_AFTER_MS = 700
/** How often the primary is judged and transactions are swept, in ms. */
const TEND_MS = 50
/** A gap between two looks that shows that this process stood still, in ms: what it missed meanwhile proves nothing. */
const STALL_MS = 250
/** Time in which a new home learns about its targets, in ms. */
const STARTING_MS = 1000
/** Time that open transactions have before a planned replacement of the primary, in ms. */
const PLANNED_WAIT_MS = 400
/** Usual time from the request for a promotion until the successor serves, in ms: two log entries and the platform's part. */
const PROMOTION_MS = 800
/** Time between two reports of the same news, in ms. */
const NEWS_AGAIN_MS = 50
/** Time between two orders to step down to the same target, in ms. */
const STEP_DOWN_AGAIN_MS = 300
const RELEASE_CHECK_MS = 5
const log = createLogger('home')

/** Starts the home of a database under an epoch. */
export function createStatementHome (opts: StatementHomeOptions): StatementHome {
  const { database } = opts.view
  const { now } = opts
  const history = createAckHistory()
  const transactions = createTransactions()
  const startedAt = now()
  const steppedDownAt = new Map<string, number>()
  let view = opts.view
  let promotion: PromotionRequest | undefined
  let releasing = false
  let released = false
  let closed = false
  let leavingSince: number | undefined
  let replacingSince: number | undefined
  let lastTend = now()
  let quietSince = startedAt
  let newsAt = -Infinity
  let lastLoss: string | undefined

  const mayAct = () => !released && !closed && opts.mayAct()
  const isReplacing = () => promotion?.fromTerm === view.term
  const group = createTargetGroup(view, {
    ...opts,
    onFree: () => dispatcher.dispatch(),
    onStatus: tend,
    isUrgent: () => view.state !== 'open' || isReplacing() || !history.isFloorKnown() || lastLoss !== undefined,
  })
  const context: HomeContext = {
    database,
    opts,
    view: () => view,
    group,
    history,
    transactions,
    mayAct,
    takesNew: () => mayAct() && !releasing,
    takesWrites: () => view.state === 'open' && !isReplacing() && leavingSince === undefined,
    acknowledge: async (term, position) => released ? await opts.askNextHome(term, position) : acknowledgeFor(term, position),
    primaryExpectedMs,
    isStarting: () => now() - startedAt < STARTING_MS,
    now,
  }
  const dispatcher = createDispatcher(context)
  const runner = createStatementRunner(context, dispatcher)
  const timer = setInterval(tend, TEND_MS)

  function acknowledgeFor (term: number, position: LogPosition): boolean {
    if (!mayAct() || view.state !== 'open' || view.term !== term || isReplacing()) return false
    history.note(position, now())
    return true
  }

  function primaryExpectedMs (): number | undefined {
    if (leavingSince !== undefined && !isReplacing()) return PLANNED_WAIT_MS + PROMOTION_MS
    if (replacingSince === undefined || (!isReplacing() && view.state !== 'promoting')) return undefined
    const left = PROMOTION_MS - (now() - replacingSince)
    return left < -PROMOTION_MS ? undefined : Math.max(left, TEND_MS)
  }

  function tend (): void {
    if (closed) return
    noticeStall()
    learnFloor()
    if (mayAct()) {
      if (view.state === 'open') judgePrimary()
      if (view.state === 'promoting') watchPromotion()
      if (view.state === 'forming') tellNews()
      orderStepDown()
    }
    sweepTransactions()
    dispatcher.dispatch()
  }

  function noticeStall (): void {
    const at = now()
    if (at - lastTend > STALL_MS) {
      log('stalled', { database, ms: Math.round(at - lastTend) })
      quietSince = at
    }
    lastTend = at
  }

  /** Everything acknowledged by earlier homes is on the primary, or else on the furthest of all others. */
  function learnFloor (): void {
    if (history.isFloorKnown()) return
    const primary = group.primary()
    const asked = (target: GroupTarget) => target.watch.knowledge().statusAskedAt >= startedAt
    if (primary !== undefined && group.isPrimaryUsable() && asked(primary)) {
      history.setFloor(primary.watch.knowledge().received)
    } else {
      const others = [...group.all()].filter((target) => target !== primary)
      if (others.length === 0 || !others.every((target) => group.isLiveReplica(target) && asked(target))) return
      history.setFloor(furthest(others.map((target) => target.watch.knowledge().received)))
    }
    const { term, offset } = history.latest()
    log('floor', { database, term, offset, afterMs: Math.round(now() - startedAt) })
  }

  function findingOf (target: GroupTarget): PrimaryFinding {
    const { silentSince, refusedSince, reachability, role, term } = target.watch.knowledge()
    const since = Math.max(quietSince, startedAt)
    return {
      instance: target.member.instance,
      state: target.member.state,
      silentMs: silentSince === undefined ? 0 : now() - Math.max(silentSince, since),
      refusedMs: refusedSince === undefined ? 0 : now() - Math.max(refusedSince, since),
      isDemoted: reachability === 'ok' && role !== null && (role !== 'primary' || term < view.term),
      stuckMs: Math.min(runner.stuckMs(), now() - since),
    }
  }

  function candidateOf (target: GroupTarget): PromotionCandidate {
    const { received, statusAskedAt } = target.watch.knowledge()
    return {
      instance: target.member.instance,
      state: target.member.state,
      isLiveReplica: group.isLiveReplica(target),
      received,
      statusAskedAt,
    }
  }

  function judgePrimary (): void {
    if (isReplacing()) {
      tellNews()
      return
    }
    const primary = group.primary()
    if (primary === undefined && now() - startedAt < STARTING_MS) return
    const decision = decidePromotion({
      primary: primary === undefined ? undefined : findingOf(primary),
      others: [...group.all()].filter((target) => target !== primary).map(candidateOf),
      acknowledged: history.isFloorKnown() ? history.latest() : undefined,
      homeSince: startedAt,
      copies: view.members.length,
    }, { refusedAfterMs: REFUSED_AFTER_MS, silentAfterMs: SILENT_AFTER_MS, stuckAfterMs: STUCK_AFTER_MS })
    noteLoss(decision.kind === 'keep' ? undefined : `${decision.kind} ${decision.loss}`)
    if (decision.kind !== 'promote') {
      leavingSince = undefined
      return
    }
    if (decision.loss === 'leaving' && !isReadyToLeave()) return
    replace(decision.heir, decision.loss)
  }

  function noteLoss (loss: string | undefined): void {
    if (loss === lastLoss) return
    lastLoss = loss
    const primary = group.primary()
    const finding = primary === undefined ? {} : describe(findingOf(primary))
    log('judgePrimary', { database, term: view.term, primary: view.primary, decision: loss ?? 'keep', ...finding })
  }

  function describe (finding: PrimaryFinding): Readonly<Record<string, string | number | boolean>> {
    const { silentMs, refusedMs, stuckMs, isDemoted, state } = finding
    return { silentMs: Math.round(silentMs), refusedMs: Math.round(refusedMs), stuckMs: Math.round(stuckMs), isDemoted, state }
  }

  /** Before a planned replacement, no new writes start and those at work end. */
  function isReadyToLeave (): boolean {
    leavingSince ??= now()
    if (now() - leavingSince > PLANNED_WAIT_MS) return true
    const writers = [...transactions.all()].some(({ access }) => access === 'write')
    return !writers && !runner.isWriting()
  }

  /** From here on nothing is acknowledged under the present term. */
  function replace (heir: string, loss: string): void {
    log('askPromotion', { database, term: view.term, primary: view.primary, heir, loss })
    opts.metrics.count('events', `promotion_asked_${loss}`)
    promotion = { fromTerm: view.term, heir }
    replacingSince = now()
    group.primary()?.lane.abandon()
    dispatcher.dispatch()
    tellNews()
  }

  function watchPromotion (): void {
    const leader = promotedTarget()
    if (leader !== undefined) {
      tellNews()
      return
    }
    const heir = typeof view.heir === 'string' ? group.get(view.heir) : undefined
    if (heir !== undefined && !isLost(heir)) return
    judgeHeir()
  }

  function isLost (target: GroupTarget): boolean {
    const { silentMs, refusedMs } = findingOf(target)
    return refusedMs >= REFUSED_AFTER_MS || silentMs >= SILENT_AFTER_MS
  }

  /** The heir was lost before it led: another one is named by the same rule. */
  function judgeHeir (): void {
    const others = [...group.all()].filter((target) => target.member.instance !== view.heir)
    const decision = decidePromotion({
      primary: undefined,
      others: others.map(candidateOf),
      acknowledged: history.isFloorKnown() ? history.latest() : undefined,
      homeSince: startedAt,
      copies: view.members.length,
    }, { refusedAfterMs: REFUSED_AFTER_MS, silentAfterMs: SILENT_AFTER_MS, stuckAfterMs: STUCK_AFTER_MS })
    if (decision.kind !== 'promote' || isReplacing()) return
    log('askPromotion', { database, term: view.term, heir: decision.heir, loss: 'heir' })
    promotion = { fromTerm: view.term, heir: decision.heir }
    tellNews()
  }

  /** The target that leads a term at least as high as the one to be opened. */
  function promotedTarget (): GroupTarget | undefined {
    return [...group.all()].find(({ watch }) => {
      const { reachability, role, term } = watch.knowledge()
      return reachability === 'ok' && role === 'primary' && term >= view.term
    })
  }

  function orderStepDown (): void {
    if (view.state !== 'open') return
    for (const { member, watch } of group.all()) {
      const { reachability, role, term } = watch.knowledge()
      if (member.instance === view.primary || reachability !== 'ok' || role !== 'primary' || term >= view.term) continue
      if (now() - (steppedDownAt.get(member.instance) ?? -Infinity) < STEP_DOWN_AGAIN_MS) continue
      steppedDownAt.set(member.instance, now())
      log('stepDown', { database, instance: member.instance, term: view.term, heldTerm: term })
      watch.stepDown(view.term)
    }
  }

  function sweepTransactions (): void {
    for (const transaction of transactions.all()) {
      const isIdle = !transaction.isBusy && now() - transaction.idleSince > opts.limits().transactionIdleMs
      if (!isIdle && transaction.connection.link.isOpen()) continue
      if (transaction.isBusy) continue
      opts.metrics.count('events', isIdle ? 'transaction_idle' : 'transaction_lost')
      runner.rollBack(transaction)
    }
  }

  function tellNews (): void {
    if (now() - newsAt < NEWS_AGAIN_MS) return
    newsAt = now()
    opts.onNews()
  }

  function setView (next: DatabaseView): void {
    const previous = view
    view = next
    group.setView(next)
    if (next.term !== previous.term) noteTerm(previous)
    if (next.state === 'open') leavingSince = undefined
    tend()
  }

  function noteTerm (previous: DatabaseView): void {
    log('view', { database, state: view.state, term: view.term, primary: view.primary, heir: view.heir, previousTerm: previous.term })
    if (previous.primary !== null && previous.primary !== view.primary) group.get(previous.primary)?.lane.abandon()
    for (const { watch } of group.all()) watch.hurry()
  }

  /** What the home knew when a statement got no success. */
  function noteNotDone ({ id, deadlineMs, priority, freshness }: StatementRequest, { error, reason, fate }: StatementFailure): void {
    const { term, offset } = history.latest()
    log('notDone', {
      id,
      database,
      error,
      reason,
      fate,
      priority,
      deadlineMs: Math.round(deadlineMs),
      needs: freshness.current ? 'current' : `${freshness.maxAgeMs}ms`,
      epoch: opts.epoch,
      view: view.state,
      term: view.term,
      primary: view.primary,
      loss: lastLoss,
      acknowledged: `${term}.${offset}`,
      waiting: dispatcher.waiting(),
      heldMs: Math.round(dispatcher.heldMs()),
      targets: [...group.all()].map(describeTarget).join(' '),
    })
  }

  function describeTarget ({ member, lane, watch }: GroupTarget): string {
    const { reachability, received, lagMs } = watch.knowledge()
    return `${member.instance}:${reachability}:${received.term}.${received.offset}:lag${Math.round(lagMs)}:${lane.active()}/${lane.slots()}`
  }

  function report (): HomeReport {
    const promoted = view.state === 'promoting' ? promotedTarget() : undefined
    const targets = group.reports()
    const isCalm = view.state === 'open' && targets.every(({ reachability }) => reachability === 'ok')
    return {
      database,
      epoch: opts.epoch,
      term: view.term,
      targets: isCalm ? [] : targets,
      committed: history.isFloorKnown() ? history.latest() : ORIGIN,
      promoted: promoted?.member.instance ?? null,
      ...promoted === undefined ? {} : { promotedTerm: promoted.watch.knowledge().term },
      promotion: isReplacing() ? promotion : null,
      wantInSync: null,
      released,
    }
  }

  function closeAll (): void {
    closed = true
    clearInterval(timer)
    dispatcher.refuseAll()
    group.close()
  }

  return {
    async run (request) {
      const isOpen = request.transaction !== null && request.begins === null && transactions.get(request.transaction) !== undefined
      if (!mayAct() && !(released && isOpen && !closed)) return { reply: statementFailure('aborted', 'not_home'), state: request.transaction === null ? 'idle' : 'failed' }
      const outcome = await runner.run(request)
      if (outcome.reply.kind === 'error') noteNotDone(request, outcome.reply)
      return outcome
    },
    forget (key) {
      const transaction = transactions.get(key)
      if (transaction !== undefined) runner.rollBack(transaction)
    },
    setView,
    report,
    async release (timeoutMs) {
      if (releasing) return
      const until = performance.now() + timeoutMs
      releasing = true
      dispatcher.refuseAll()
      log('releasing', { database, epoch: opts.epoch, transactions: transactions.size() })
      while (performance.now() < until && runner.newWork() > 0) await sleep(RELEASE_CHECK_MS)
      released = true
      group.closeIdle()
      opts.onNews()
    },
    transactions: () => transactions.size(),
    hasTransaction: (key) => transactions.get(key) !== undefined,
    acknowledgeFor,
    close: closeAll,
  }
}
