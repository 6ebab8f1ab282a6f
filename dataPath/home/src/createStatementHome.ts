import { setTimeout as sleep } from 'node:timers/promises'
import {
  type DatabaseView,
  type HomeReport,
  type LogPosition,
  ORIGIN,
  statementFailure,
} from '@briarpick/types'
import { createLogger } from '@briarpick/logs'
import { createAckHistory, type WriteSending } from './createAckHistory.js'
import { createStatementDispatcher } from './createStatementDispatcher.js'
import { createFailureLog } from './createFailureLog.js'
import { type EjectionEvent } from './createOutlierEjection.js'
import { createPrimaryMonitor, STARTUP_MS } from './createPrimaryMonitor.js'
import { createStatementRunner, highestPosition } from './createStatementRunner.js'
import { createTargetGroup, type GroupTarget } from './createTargetGroup.js'
import { createTransactionTable } from './createTransactionTable.js'
import { createWriteTracker } from './createWriteTracker.js'
import { isLossConfirmed } from './isLossConfirmed.js'
import { mayReadAfterLease } from './mayReadAfterLease.js'
import { type StatementHomeContext } from './statementHomeContext.js'
import { type StatementHome, type StatementHomeOptions } from './statementHomeTypes.js'

/** Interval between two periodic checks of the primary, the transactions and the queue, in ms. */
const CHECK_INTERVAL_MS = 50
/** Gap between two checks that counts as a pause of this process, in ms: responses missed meanwhile prove no failure. */
const STALL_MS = 250
/** Minimum time between two requests for an early report, in ms. */
const REPORT_INTERVAL_MS = 50
/** Interval at which a release checks for statements in flight, in ms. */
const RELEASE_POLL_MS = 5
const EJECTION_METRICS: Readonly<Record<EjectionEvent['event'], string>> = {
  targetEjected: 'target_ejected',
  targetTrial: 'target_trial',
  targetReturning: 'target_returning',
  targetReturned: 'target_returned',
}
const log = createLogger('home')

/** Starts the home of a database in an epoch. */
export function createStatementHome (opts: StatementHomeOptions): StatementHome {
  const { database } = opts.view
  const { now } = opts
  const history = createAckHistory()
  const transactions = createTransactionTable()
  const startedAt = now()
  let view = opts.view
  let releasing = false
  let released = false
  let closed = false
  let lastCheckAt = now()
  let reportRequestedAt = -Infinity
  let heldLease = true

  if (view.unconfirmedLoss !== undefined) history.recordCopyLoss(startedAt)

  const isActive = () => !released && !closed && now() < opts.leaseEnd()
  const writes = createWriteTracker({ now, hasReceivingReplica: () => group.hasReceivingReplica() })
  const monitor = createPrimaryMonitor({
    database,
    startedAt,
    now,
    view: () => view,
    group: () => group,
    history,
    metrics: opts.metrics,
    stuckMs: writes.stuckMs,
    waiting: () => dispatcher.waiting(),
    hasPendingWrites: () => writes.hasPending() || [...transactions.all()].some(({ access }) => access === 'write'),
    onPromotionRequested: () => dispatcher.dispatch(),
    requestReport,
  })
  const group = createTargetGroup(view, {
    ...opts,
    onAvailable: () => dispatcher.dispatchSoon(),
    onStatus: runPeriodicChecks,
    onConnected: () => history.recordNewConnection(now()),
    onCopyLost: () => history.recordCopyLoss(now()),
    missingMs: history.missingMs,
    isUrgent: () => view.state !== 'open' || monitor.isReplacing() || !history.isFloorKnown() || monitor.loss() !== undefined,
  })
  const context: StatementHomeContext = {
    database,
    opts,
    view: () => view,
    group,
    history,
    transactions,
    writes,
    isActive,
    accepts: (request) => !releasing && !closed &&
      (isActive() || mayReadAfterLease(request, { leaseEnd: opts.leaseEnd(), now: now() })),
    acceptsWrites: () => view.state === 'open' && !monitor.isReplacing() && !monitor.isSwitchingOver() &&
      // While the primary answers no write, one at a time shows when it does again; the others are rejected, as none has run.
      !(writes.isStalled() && writes.hasPending()),
    acknowledge: async (term, position, sent) => released
      ? await opts.acknowledgeAtNextHome(term, position)
      : acknowledgeHere(term, position, sent),
    successorExpectedMs: monitor.successorExpectedMs,
    isStarting: () => now() - startedAt < STARTUP_MS,
    now,
  }
  const dispatcher = createStatementDispatcher(context)
  const runner = createStatementRunner(context, dispatcher)
  const logFailure = createFailureLog({ epoch: opts.epoch, view: () => view, history, monitor, dispatcher, group })
  const timer = setInterval(runPeriodicChecks, CHECK_INTERVAL_MS)

  function acknowledgeHere (term: number, position: LogPosition, sent?: WriteSending): boolean {
    if (!isActive() || view.state !== 'open' || view.term !== term || monitor.isReplacing()) return false
    history.record(position, now(), sent)
    return true
  }

  function runPeriodicChecks (): void {
    if (closed) return
    detectStall()
    logLeaseChange()
    learnFloor()
    if (isActive()) monitor.check()
    ejectOutliers()
    endStaleTransactions()
    dispatcher.dispatch()
  }

  function ejectOutliers (): void {
    for (const { event, ...inputs } of group.ejectOutliers()) {
      opts.metrics.count('events', EJECTION_METRICS[event])
      log(event, { database, ...inputs })
    }
  }

  /** Logs that the lease has ended although no next home is known, and that it is held again. */
  function logLeaseChange (): void {
    const holdsLease = now() < opts.leaseEnd()
    if (holdsLease === heldLease || opts.leaseEnd() === -Infinity || released) return
    heldLease = holdsLease
    log(holdsLease ? 'leaseRegained' : 'leaseExpired', { database, epoch: opts.epoch, waiting: dispatcher.waiting() })
  }

  function detectStall (): void {
    const at = now()
    if (at - lastCheckAt > STALL_MS) {
      log('processPaused', { database, ms: Math.round(at - lastCheckAt) })
      monitor.onStall()
    }
    lastCheckAt = at
  }

  /**
   * Sets the floor. Every write that earlier homes acknowledged is on the primary, or else on the most advanced of all other targets;
   * without a usable primary, all of those must have reported their position to this home, and none may have lost its log.
   */
  function learnFloor (): void {
    if (history.isFloorKnown()) return
    const primary = group.primary()
    const isFresh = (target: GroupTarget) => target.prober.observation().statusRequestedAt >= startedAt
    if (primary !== undefined && group.isPrimaryUsable() && isFresh(primary)) {
      history.setFloor(primary.prober.observation().received)
    } else {
      const others = [...group.all()].filter((target) => target !== primary)
      const hasLog = (target: GroupTarget) => target.prober.observation().received.offset > 0
      const isAsked = (target: GroupTarget) => group.isLiveReplica(target) && isFresh(target) && hasLog(target)
      if (others.length === 0 || history.acknowledgedBeforeLoss() === undefined || !others.every(isAsked)) return
      history.setFloor(highestPosition(others.map((target) => target.prober.observation().received)))
    }
    const { term, offset } = history.latest()
    log('floorSet', { database, term, offset, afterMs: Math.round(now() - startedAt) })
  }

  function endStaleTransactions (): void {
    for (const transaction of transactions.all()) {
      const isIdle = !transaction.isBusy && now() - transaction.idleSince > opts.limits().transactionIdleMs
      if (!isIdle && transaction.connection.link.isOpen()) continue
      if (transaction.isBusy) continue
      opts.metrics.count('events', isIdle ? 'transaction_idle' : 'transaction_lost')
      runner.rollBack(transaction)
    }
  }

  function requestReport (): void {
    if (now() - reportRequestedAt < REPORT_INTERVAL_MS) return
    reportRequestedAt = now()
    opts.onReportChange()
  }

  function setView (next: DatabaseView): void {
    const previous = view
    view = next
    if (next.unconfirmedLoss !== undefined && next.unconfirmedLoss !== previous.unconfirmedLoss) history.recordCopyLoss(now())
    group.setView(next)
    if (next.term !== previous.term) handleTermChange(previous)
    monitor.onViewChange()
    runPeriodicChecks()
  }

  function handleTermChange (previous: DatabaseView): void {
    log('viewChanged', { database, state: view.state, term: view.term, primary: view.primary, heir: view.heir, previousTerm: previous.term })
    writes.onPrimaryChange()
    if (previous.primary !== null && previous.primary !== view.primary) group.get(previous.primary)?.pool.closeAll()
    for (const { prober } of group.all()) prober.probeNow()
  }

  /** The view's unconfirmed loss of a target, once it is without effect on what was acknowledged. */
  function confirmedLoss (): { readonly confirmedLoss?: number } {
    const { unconfirmedLoss, state } = view
    const primary = group.primary()
    if (unconfirmedLoss === undefined || state !== 'open' || primary === undefined) return {}
    const others = [...group.all()].filter((target) => target !== primary).map((target) => ({
      isLiveReplica: group.isLiveReplica(target),
      received: target.prober.observation().received,
    }))
    return isLossConfirmed({ history, oldestWriteAt: writes.oldestSentAt(), others }) ? { confirmedLoss: unconfirmedLoss } : {}
  }

  function report (): HomeReport {
    const promotedTarget = view.state === 'promoting' ? monitor.promotedTarget() : undefined
    const targets = group.reports()
    const isHealthy = view.state === 'open' && targets.every(({ reachability }) => reachability === 'ok')
    return {
      database,
      epoch: opts.epoch,
      term: view.term,
      targets: isHealthy ? [] : targets,
      committed: history.isFloorKnown() ? history.latest() : ORIGIN,
      promoted: promotedTarget?.member.instance ?? null,
      ...promotedTarget === undefined ? {} : { promotedTerm: promotedTarget.prober.observation().term },
      promotion: monitor.promotion(),
      ...confirmedLoss(),
      wantInSync: null,
      released,
      ...opts.teamLimiter?.report(),
    }
  }

  function closeAll (): void {
    closed = true
    clearInterval(timer)
    dispatcher.rejectAll()
    group.close()
  }

  return {
    async run (request, signal) {
      const { transaction, begins } = request
      const continuesTransaction = transaction !== null && begins === null && transactions.get(transaction) !== undefined
      if (!isActive() && !context.accepts(request) && !(released && !closed && continuesTransaction)) {
        return { reply: statementFailure('aborted', 'not_home'), state: transaction === null ? 'idle' : 'failed' }
      }
      if (!isActive() && !continuesTransaction) opts.metrics.count('events', 'read_after_lease')
      const outcome = await runner.run(request, signal)
      if (outcome.reply.kind === 'error' && outcome.reply.reason !== 'rate_limited') logFailure(request, outcome.reply)
      const waits = dispatcher.waits()
      return waits.length === 0 ? outcome : { ...outcome, waits }
    },
    rollBack (key) {
      const transaction = transactions.get(key)
      if (transaction !== undefined) runner.rollBack(transaction)
    },
    setView,
    report,
    async release (timeoutMs) {
      if (releasing) return
      const deadline = performance.now() + timeoutMs
      releasing = true
      dispatcher.rejectAll()
      log('homeReleasing', { database, epoch: opts.epoch, transactions: transactions.size() })
      while (performance.now() < deadline && runner.inFlight() > 0) await sleep(RELEASE_POLL_MS)
      released = true
      group.closeIdle()
      opts.onReportChange()
    },
    transactions: () => transactions.size(),
    waiting: () => dispatcher.waiting(),
    hasPendingWrites: writes.hasPending,
    hasTransaction: (key) => transactions.get(key) !== undefined,
    acknowledgeForPreviousHome: (term, position) => acknowledgeHere(term, position),
    close: closeAll,
  }
}
