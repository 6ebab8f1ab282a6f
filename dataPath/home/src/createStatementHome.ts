import { setTimeout as sleep } from 'node:timers/promises'
import {
  type DatabaseView,
  type HomeReport,
  type LogPosition,
  ORIGIN,
  type StatementFailure,
  statementFailure,
  type StatementRequest,
} from '@briarpick/types'
import { createLogger } from '@briarpick/logs'
import { createAckHistory } from './createAckHistory.js'
import { createDispatcher } from './createDispatcher.js'
import { createPrimaryJudge, STARTING_MS } from './createPrimaryJudge.js'
import { createStatementRunner, furthest } from './createStatementRunner.js'
import { createTargetGroup, type GroupTarget } from './createTargetGroup.js'
import { createTransactions } from './createTransactions.js'
import { type HomeContext } from './homeContext.js'
import { type StatementHome, type StatementHomeOptions } from './statementHomeTypes.js'

/** How often the primary is judged and transactions are swept, in ms. */
const TEND_MS = 50
/** A gap between two looks that shows that this process stood still, in ms: what it missed meanwhile proves nothing. */
const STALL_MS = 250
/** Time between two reports of the same news, in ms. */
const NEWS_AGAIN_MS = 50
const RELEASE_CHECK_MS = 5
const log = createLogger('home')

/** Starts the home of a database under an epoch. */
export function createStatementHome (opts: StatementHomeOptions): StatementHome {
  const { database } = opts.view
  const { now } = opts
  const history = createAckHistory()
  const transactions = createTransactions()
  const startedAt = now()
  let view = opts.view
  let releasing = false
  let released = false
  let closed = false
  let lastTend = now()
  let newsAt = -Infinity

  const mayAct = () => !released && !closed && opts.mayAct()
  const judge = createPrimaryJudge({
    database,
    startedAt,
    now,
    view: () => view,
    group: () => group,
    history,
    metrics: opts.metrics,
    stuckMs: () => runner.stuckMs(),
    waiting: () => dispatcher.waiting(),
    isWriting: () => runner.isWriting() || [...transactions.all()].some(({ access }) => access === 'write'),
    onReplace: () => dispatcher.dispatch(),
    tellNews,
  })
  const group = createTargetGroup(view, {
    ...opts,
    onFree: () => dispatcher.dispatch(),
    onStatus: tend,
    isUrgent: () => view.state !== 'open' || judge.isReplacing() || !history.isFloorKnown() || judge.loss() !== undefined,
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
    takesWrites: () => view.state === 'open' && !judge.isReplacing() && !judge.isLeaving(),
    acknowledge: async (term, position) => released ? await opts.acknowledgeAtNextHome(term, position) : acknowledgeFor(term, position),
    primaryExpectedMs: judge.expectedMs,
    isStarting: () => now() - startedAt < STARTING_MS,
    now,
  }
  const dispatcher = createDispatcher(context)
  const runner = createStatementRunner(context, dispatcher)
  const timer = setInterval(tend, TEND_MS)

  function acknowledgeFor (term: number, position: LogPosition): boolean {
    if (!mayAct() || view.state !== 'open' || view.term !== term || judge.isReplacing()) return false
    history.note(position, now())
    return true
  }

  function tend (): void {
    if (closed) return
    noticeStall()
    learnFloor()
    if (mayAct()) judge.look()
    sweepTransactions()
    dispatcher.dispatch()
  }

  function noticeStall (): void {
    const at = now()
    if (at - lastTend > STALL_MS) {
      log('stalled', { database, ms: Math.round(at - lastTend) })
      judge.noteStall()
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
    opts.onReportChanged()
  }

  function setView (next: DatabaseView): void {
    const previous = view
    view = next
    group.setView(next)
    if (next.term !== previous.term) noteTerm(previous)
    judge.noteView()
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
      loss: judge.loss(),
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
    const promoted = view.state === 'promoting' ? judge.promoted() : undefined
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
      promotion: judge.promotion(),
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
    rollBack (key) {
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
      opts.onReportChanged()
    },
    transactions: () => transactions.size(),
    hasTransaction: (key) => transactions.get(key) !== undefined,
    acknowledgeForPreviousHome: acknowledgeFor,
    close: closeAll,
  }
}
