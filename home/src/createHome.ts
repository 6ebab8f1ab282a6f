import { type DatabaseView, type HomeReport, laterOf, type LogPosition, ORIGIN } from '@briarpick/types'
import { createRetryBudget } from '@briarpick/admission'
import { createLogger } from '@briarpick/logs'
import { createAgeProof, createWatermarks } from '@briarpick/session'
import { createDispatcher, type Dispatcher } from './createDispatcher.js'
import { createDurability } from './createDurability.js'
import { createGroupKeeper } from './createGroupKeeper.js'
import { createSession } from './createSession.js'
import { createTargetSet, type Target } from './createTargetSet.js'
import { type TargetKnowledge } from './createTargetMonitor.js'
import { type HomeContext } from './homeContext.js'
import { type Home, type HomeOptions } from './homeTypes.js'
import { isAsViewed } from './isAsViewed.js'
import { notHome } from './refusals.js'

const MAX_SESSIONS = 100_000
const MAX_AGE_SAMPLES = 2048
const RETRY_BURST = 20
const RELEASE_CHECK_MS = 10
const log = createLogger('home')

/** Starts the home of a database under an epoch. */
export function createHome (opts: HomeOptions): Home {
  const { database } = opts.view
  const watermarks = createWatermarks({ maxSessions: MAX_SESSIONS })
  const ages = createAgeProof({ maxSamples: MAX_AGE_SAMPLES })
  const sessions = new Set<ReturnType<typeof createSession>>()
  const startedAt = performance.now()
  let view = opts.view
  let floorTerm = -1
  let acknowledged: LogPosition = ORIGIN
  let releasing = false
  let released = false

  const mayAct = () => !released && opts.holdsLease()
  const targets = createTargetSet(view, {
    connect: opts.connect,
    policy: opts.policy,
    dataCentre: opts.dataCentre,
    onFree: () => dispatcher.dispatch(),
    onStatus: notice,
  })
  const dispatcher: Dispatcher = createDispatcher({
    database,
    targets,
    policy: opts.policy,
    ageOf: (position) => ages.ageOf(position, performance.now()),
    mayWrite: () => opts.policy().in_sync_replicas === 0 || keeper.durability() === 'held',
  })
  const durability = createDurability({
    isHeld (position, hasReached) {
      const required = keeper.required()
      if (required === undefined) return false
      return required.every((instance) => {
        const known = targets.get(instance)?.monitor.knowledge()
        return known !== undefined && hasReached(known.position, position)
      })
    },
    onWait: () => targets.hurry(),
  })
  const keeper = createGroupKeeper({
    database,
    targets,
    view: () => view,
    mayAct,
    wantedInSync: () => opts.policy().in_sync_replicas,
    acknowledged: () => acknowledged,
    isFloorKnown: () => floorTerm === view.term,
    onNews: opts.onReportChange,
    onPromoted: (position) => setFloor(position, view.term),
    onChange: () => durability.check(),
  })
  const context: HomeContext = {
    database,
    opts,
    view: () => view,
    mayAct,
    isReleasing: () => releasing,
    targets,
    dispatcher,
    durability,
    watermarks,
    retries: createRetryBudget({ ratio: opts.policy().retry_ratio, burst: RETRY_BURST }),
    isFloorKnown: () => floorTerm >= 0,
    durabilityOutlook: () => keeper.durability(),
    noteAcknowledged: (position) => { acknowledged = laterOf(acknowledged, position) },
  }

  /** Everything acknowledged so far, by whatever home, is at or before this position. */
  function setFloor (position: LogPosition, term: number): void {
    floorTerm = term
    acknowledged = laterOf(acknowledged, position)
    watermarks.raiseFloor(position)
  }

  function notice (target: Target, knowledge: TargetKnowledge, askedAt: number): void {
    if (released) return
    const isPrimary = target.member.instance === view.primary
    if (isPrimary && knowledge.reachability === 'ok' && knowledge.role === 'primary' && knowledge.term === view.term) {
      ages.sample(knowledge.position, askedAt)
      if (floorTerm !== view.term && askedAt >= startedAt) setFloor(knowledge.position, view.term)
    }
    const slowest = targets.slowestReplica()
    if (slowest !== undefined) watermarks.prune(slowest)
    keeper.tend()
    durability.check()
    dispatcher.dispatch()
  }

  function setView (next: DatabaseView): void {
    const previous = view
    view = next
    targets.setView(next)
    if (next.term !== previous.term) durability.fail()
    keeper.tend()
    durability.check()
    dispatcher.dispatch()
  }

  function report (): HomeReport {
    const reports = targets.reports()
    return {
      database,
      epoch: opts.epoch,
      term: view.term,
      targets: isAsViewed(view, reports) ? [] : reports,
      committed: acknowledged,
      promoted: keeper.promoted(),
      wantInSync: keeper.askInSync(),
      released,
    }
  }

  function closeAll (): void {
    released = true
    dispatcher.refuseAll(notHome(database))
    durability.fail()
    for (const session of sessions) session.close()
    keeper.close()
    targets.close()
  }

  return {
    createSession () {
      const session = createSession(context, () => sessions.delete(session))
      sessions.add(session)
      return session
    },
    setView,
    report,
    async release (timeoutMs) {
      const until = performance.now() + timeoutMs
      releasing = true
      log('releasing', { database, epoch: opts.epoch })
      while (performance.now() < until && [...sessions].some((session) => session.isBusy())) {
        await new Promise((resolve) => setTimeout(resolve, RELEASE_CHECK_MS))
      }
      closeAll()
      opts.onReportChange()
    },
    load: () => dispatcher.waiting() + [...sessions].filter((session) => session.isBusy()).length,
    close: closeAll,
  }
}
