import { setTimeout as sleep } from 'node:timers/promises'
import {
  type DatabaseView,
  hasReached,
  type HomeReport,
  type LogPosition,
  ORIGIN,
  type StatementFailure,
  statementFailure,
  type StatementRequest,
} from '@briarpick/types'
import { createLogger } from '@briarpick/logs'
import { createAckHistory } from './createAckHistory.js'
import { createStatementDispatcher } from './createStatementDispatcher.js'
import { type EjectionEvent } from './createOutlierEjection.js'
import { createPrimaryMonitor, STARTUP_MS } from './createPrimaryMonitor.js'
import { createStatementRunner, highestPosition } from './createStatementRunner.js'
import { createTargetGroup, type GroupTarget } from './createTargetGroup.js'
import { createTransactionTable } from './createTransactionTable.js'
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
  const acceptsRequests = () => isActive() && !releasing
  const monitor = createPrimaryMonitor({
    database,
    startedAt,
    now,
    view: () => view,
    group: () => group,
    history,
    metrics: opts.metrics,
    stuckMs: () => runner.stuckMs(),
    waiting: () => dispatcher.waiting(),
    hasPendingWrites: () => runner.hasPendingWrites() || [...transactions.all()].some(({ access }) => access === 'write'),
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
    isActive,
    acceptsRequests,
    accepts: (request) => acceptsRequests() || acceptsAfterLease(request),
    acceptsWrites: () => view.state === 'open' && !monitor.isReplacing() && !monitor.isSwitchingOver() &&
      // While the primary answers no write, one at a time shows when it does again; the others are rejected, as none has run.
      !(runner.isStalled() && runner.hasPendingWrites()),
    // With a replica that receives, a commit without an answer has rather lost it.
    hasCommitRoom: (slots) => group.hasReceivingReplica() || runner.hasCommitRoom(slots),
    acknowledge: async (term, position, sentAt) => released
      ? await opts.acknowledgeAtNextHome(term, position)
      : acknowledgeHere(term, position, sentAt),
    successorExpectedMs: monitor.successorExpectedMs,
    isStarting: () => now() - startedAt < STARTUP_MS,
    now,
  }
  const dispatcher = createStatementDispatcher(context)
  const runner = createStatementRunner(context, dispatcher)
  const timer = setInterval(runPeriodicChecks, CHECK_INTERVAL_MS)

  /** A statement in a transaction is not accepted, as it may have to be followed by a commit. */
  function acceptsAfterLease ({ transaction, action, freshness }: StatementRequest): boolean {
    if (released || closed || releasing || transaction !== null) return false
    if (action.kind === 'commit' || action.kind === 'rollback' || action.access !== 'read') return false
    return mayReadAfterLease(freshness, { leaseEnd: opts.leaseEnd(), now: now() })
  }

  function acknowledgeHere (term: number, position: LogPosition, sentAt?: number): boolean {
    if (!isActive() || view.state !== 'open' || view.term !== term || monitor.isReplacing()) return false
    history.record(position, now(), sentAt)
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
    runner.onPrimaryChange()
    if (previous.primary !== null && previous.primary !== view.primary) group.get(previous.primary)?.pool.closeAll()
    for (const { prober } of group.all()) prober.probeNow()
  }

  /** Logs the state of the home when a statement fails. */
  function logFailure ({ id, deadlineMs, priority, freshness }: StatementRequest, { error, reason, fate }: StatementFailure): void {
    const { term, offset } = history.latest()
    log('statementFailed', {
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
      loss: monitor.loss(),
      acknowledged: `${term}.${offset}`,
      waiting: dispatcher.waiting(),
      heldMs: Math.round(dispatcher.meanServiceTimeMs()),
      targets: [...group.all()].map(describeTarget).join(' '),
    })
  }

  function describeTarget ({ member, pool, prober }: GroupTarget): string {
    const { reachability, received, lagMs, receiveLagMs } = prober.observation()
    const lag = `lag${Math.round(Math.max(lagMs, receiveLagMs))}`
    return `${member.instance}:${reachability}:${received.term}.${received.offset}:${lag}:${pool.active()}/${pool.slots()}`
  }

  /** The view's unconfirmed loss of a target, once every other target but the primary holds everything acknowledged before it. */
  function confirmedLoss (): { readonly confirmedLoss?: number } {
    const { unconfirmedLoss, state } = view
    const before = history.acknowledgedBeforeLoss()
    if (unconfirmedLoss === undefined || state !== 'open' || before === undefined || !history.isFloorKnown()) return {}
    const primary = group.primary()
    const holdsAll = (target: GroupTarget) => target === primary ||
      (group.isLiveReplica(target) && hasReached(target.prober.observation().received, before))
    return primary !== undefined && [...group.all()].every(holdsAll) ? { confirmedLoss: unconfirmedLoss } : {}
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
      const isOpen = request.transaction !== null && request.begins === null && transactions.get(request.transaction) !== undefined
      if (!isActive() && !(released && isOpen && !closed) && !acceptsAfterLease(request)) {
        return { reply: statementFailure('aborted', 'not_home'), state: request.transaction === null ? 'idle' : 'failed' }
      }
      if (!isActive() && !isOpen) opts.metrics.count('events', 'read_after_lease')
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
    hasPendingWrites: runner.hasPendingWrites,
    hasTransaction: (key) => transactions.get(key) !== undefined,
    acknowledgeForPreviousHome: (term, position) => acknowledgeHere(term, position),
    close: closeAll,
  }
}
