import { type DatabaseView, type HomeReport, laterOf, type LogPosition, ORIGIN } from '@briarpick/types'
import { createRetryBudget } from '@briarpick/admission'
import { createLogger } from '@briarpick/logs'
import { createAgeBound, createWatermarks } from '@briarpick/session'
import { createDispatcher, type Dispatcher } from './createDispatcher.js'
import { createDurability } from './createDurability.js'
import { createGroupReconciler } from './createGroupReconciler.js'
import { createSession } from './createSession.js'
import { createTargetSet, type Target } from './createTargetSet.js'
import { type TargetObservation } from './createTargetMonitor.js'
import { type HomeContext } from './homeContext.js'
import { type Home, type HomeOptions } from './homeTypes.js'
import { matchesView } from './matchesView.js'
import { notHome } from './homeErrors.js'

const MAX_SESSIONS = 100_000
const MAX_AGE_SAMPLES = 2048
const RETRY_BURST = 20
const RELEASE_POLL_MS = 10
const log = createLogger('home')

/** Starts the home of a database for one epoch. */
export function createHome (opts: HomeOptions): Home {
  const { database } = opts.view
  const watermarks = createWatermarks({ maxSessions: MAX_SESSIONS })
  const ageBound = createAgeBound({ maxSamples: MAX_AGE_SAMPLES })
  const sessions = new Set<ReturnType<typeof createSession>>()
  const startedAt = performance.now()
  let view = opts.view
  let floorTerm = -1
  let acknowledged: LogPosition = ORIGIN
  let releasing = false
  let released = false

  const isActive = () => !released && opts.holdsLease()
  const targets = createTargetSet(view, {
    connect: opts.connect,
    policy: opts.policy,
    dataCentre: opts.dataCentre,
    onAvailable: () => dispatcher.dispatch(),
    onStatus: handleObservation,
  })
  const dispatcher: Dispatcher = createDispatcher({
    database,
    targets,
    policy: opts.policy,
    ageOf: (position) => ageBound.ageOf(position, performance.now()),
    mayWrite: () => opts.policy().in_sync_replicas === 0 || reconciler.replicaAvailability() === 'available',
  })
  const durability = createDurability({
    isReplicated (position, hasReached) {
      const required = reconciler.requiredReplicas()
      if (required === undefined) return false
      return required.every((instance) => {
        const observation = targets.get(instance)?.monitor.observation()
        return observation !== undefined && hasReached(observation.position, position)
      })
    },
    onWait: () => targets.pollFast(),
  })
  const reconciler = createGroupReconciler({
    database,
    targets,
    view: () => view,
    isActive,
    wantedInSync: () => opts.policy().in_sync_replicas,
    acknowledged: () => acknowledged,
    isFloorKnown: () => floorTerm === view.term,
    onReportChange: opts.onReportChange,
    onPromoted: (position) => setFloor(position, view.term),
    onRequirementChange: () => durability.check(),
  })
  const context: HomeContext = {
    database,
    opts,
    view: () => view,
    isActive,
    isReleasing: () => releasing,
    targets,
    dispatcher,
    durability,
    watermarks,
    retries: createRetryBudget({ ratio: opts.policy().retry_ratio, burst: RETRY_BURST }),
    isFloorKnown: () => floorTerm >= 0,
    replicaAvailability: () => reconciler.replicaAvailability(),
    recordAcknowledged: (position) => { acknowledged = laterOf(acknowledged, position) },
  }

  /** Sets an upper bound of every position acknowledged so far, by this or an earlier home. */
  function setFloor (position: LogPosition, term: number): void {
    floorTerm = term
    acknowledged = laterOf(acknowledged, position)
    watermarks.raiseFloor(position)
  }

  function handleObservation (target: Target, observation: TargetObservation, askedAt: number): void {
    if (released) return
    const isPrimary = target.member.instance === view.primary
    if (isPrimary && observation.reachability === 'ok' && observation.role === 'primary' && observation.term === view.term) {
      ageBound.addSample(observation.position, askedAt)
      if (floorTerm !== view.term && askedAt >= startedAt) setFloor(observation.position, view.term)
    }
    const lowestPosition = targets.lowestReplicaPosition()
    if (lowestPosition !== undefined) watermarks.prune(lowestPosition)
    reconciler.reconcile()
    durability.check()
    dispatcher.dispatch()
  }

  function setView (next: DatabaseView): void {
    const previous = view
    view = next
    targets.setView(next)
    if (next.term !== previous.term) durability.fail()
    reconciler.reconcile()
    durability.check()
    dispatcher.dispatch()
  }

  function report (): HomeReport {
    const reports = targets.reports()
    return {
      database,
      epoch: opts.epoch,
      term: view.term,
      targets: matchesView(view, reports) ? [] : reports,
      committed: acknowledged,
      promoted: reconciler.promoted(),
      wantInSync: reconciler.requestInSync(),
      released,
    }
  }

  function closeAll (): void {
    released = true
    dispatcher.rejectAll(notHome(database))
    durability.fail()
    for (const session of sessions) session.close()
    reconciler.close()
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
      log('homeReleasing', { database, epoch: opts.epoch })
      while (performance.now() < until && [...sessions].some((session) => session.isBusy())) {
        await new Promise((resolve) => setTimeout(resolve, RELEASE_POLL_MS))
      }
      closeAll()
      opts.onReportChange()
    },
    load: () => dispatcher.waiting() + [...sessions].filter((session) => session.isBusy()).length,
    close: closeAll,
  }
}
