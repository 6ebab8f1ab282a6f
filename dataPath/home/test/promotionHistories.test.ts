import { expect, test } from 'vitest'
import fc from 'fast-check'
import { choosePromotionTarget, type PromotionCandidate } from '@briarpick/failover'
import { hasReached, laterOf, type LogPosition, ORIGIN } from '@briarpick/types'
import { createAckHistory, type WriteSending } from '../src/index.js'
import { isLossConfirmed } from '../src/isLossConfirmed.js'

/** A commit in the log of a simulated target. */
interface Entry {
  readonly id: number
  readonly term: number
  readonly offset: number
  readonly sent: WriteSending
  /** Number of the home that sent it. */
  readonly home: number
}

/** A simulated target. Its log is replaced, never modified, so that references to earlier states stay valid. */
interface SimTarget {
  readonly name: string
  log: readonly Entry[]
  /** True while the primary does not reach it. */
  isCut: boolean
  /** True while the home does not reach it. */
  isDark: boolean
  /** True after it was demoted or crashed, until it follows the new primary. */
  isStopped: boolean
  /** True while it is missing in the view of the home, although it runs. */
  isUnknown: boolean
}

/** What the home knows of a target. */
interface Known {
  received: LogPosition
  statusRequestedAt: number
  /** Time of a status request that is not answered yet. */
  askedAt: number | undefined
  isConnected: boolean
}

/** Kind of a random event and the target or commit that it concerns. */
interface Event {
  readonly kind: EventKind
  readonly n: number
}

const EVENT_KINDS = [
  'write', 'write', 'write', 'replicate', 'replicate', 'replicate', 'acknowledge', 'acknowledge', 'acknowledge', 'ask', 'ask', 'answer',
  'answer', 'probe', 'probe', 'probe', 'cut', 'mend', 'darken', 'losePrimary', 'lighten', 'lighten', 'restartEmpty', 'leave', 'changeHome', 'rejoin', 'replacePrimary', 'replacePrimary',
] as const
/** `forget`: control removes a target that runs; `recall`: it adds it again. */
type EventKind = typeof EVENT_KINDS[number] | 'forget' | 'recall'

const positionOf = (log: readonly Entry[]): LogPosition => log.at(-1) ?? ORIGIN
const holds = (log: readonly Entry[], id: number) => log.some((entry) => entry.id === id)

/**
 * Plays events on a group of targets and the home of its database. A write is acknowledged once a replica has received it and
 * its answer has reached the home; the answer carries the primary's position, which may be further than the write.
 */
function createGroupModel (names: readonly string[]) {
  let targets: readonly SimTarget[] = names.map((name) =>
    ({ name, log: [], isCut: false, isDark: false, isStopped: false, isUnknown: false }))
  let primary = targets[0]
  let term = 1
  let now = 0
  let nextId = 1
  /** Number of homes so far. */
  let homes = 0
  let home = startHome()
  /** Commits that a replica has received, whose answer has not reached the home. */
  let answered: ReadonlyArray<{ readonly entry: Entry, readonly position: LogPosition }> = []
  const acknowledged: Entry[] = []
  const violations: string[] = []
  let promotions = 0
  /** Control's record that a target left or restarted without its log, and that the home has not confirmed. */
  let isLossUnconfirmed = false

  function startHome () {
    homes += 1
    return {
      startedAt: now,
      history: createAckHistory(),
      known: new Map<string, Known>(),
    }
  }

  const replicas = () => targets.filter((target) => target !== primary)
  const knownReplicas = () => replicas().filter(({ isUnknown }) => !isUnknown)
  const pick = (n: number) => replicas()[n % replicas().length]
  const knownOf = (target: SimTarget): Known => {
    const known = home.known.get(target.name) ?? { received: ORIGIN, statusRequestedAt: -Infinity, askedAt: undefined, isConnected: false }
    home.known.set(target.name, known)
    return known
  }

  /** Sends the next commits of the primary to a replica, up to `count`. */
  function replicate (target: SimTarget, count: number): void {
    if (target.isCut || target.isStopped || primary.isStopped) return
    const common = target.log.findIndex((entry, i) => entry.id !== primary.log[i]?.id)
    const kept = common < 0 ? target.log : target.log.slice(0, common)
    target.log = primary.log.slice(0, Math.max(kept.length, Math.min(primary.log.length, kept.length + count)))
    for (const entry of target.log.slice(kept.length)) {
      // A primary answers the statements that it ran itself, so it confirms no commit of an earlier term.
      const isOpen = entry.term === term && !acknowledged.includes(entry) && !answered.some((each) => each.entry === entry)
      if (isOpen) answered = [...answered, { entry, position: positionOf(primary.log) }]
    }
  }

  function askStatus (target: SimTarget): void {
    const known = knownOf(target)
    if (target.isDark || target.isUnknown) return
    known.askedAt ??= now
    if (!known.isConnected) home.history.recordNewConnection(now)
    known.isConnected = true
  }

  function answerStatus (target: SimTarget): void {
    const known = knownOf(target)
    if (known.askedAt === undefined || target.isDark || target.isUnknown) return
    const received = positionOf(target.log)
    if (!hasReached(received, known.received)) home.history.recordCopyLoss(now)
    Object.assign(known, { received, statusRequestedAt: known.askedAt, askedAt: undefined })
    learnFloor()
    confirmLoss()
  }

  function learnFloor (): void {
    if (home.history.isFloorKnown()) return
    if (!primary.isStopped && !primary.isDark) {
      home.history.setFloor(positionOf(primary.log))
      return
    }
    const known = knownReplicas().map(knownOf)
    const isAsked = ({ statusRequestedAt, received }: Known) => statusRequestedAt >= home.startedAt && received.offset > 0
    if (home.history.acknowledgedBeforeLoss() === undefined || !known.every(isAsked)) return
    home.history.setFloor(known.map(({ received }) => received).reduce(laterOf, ORIGIN))
  }

  function candidateOf (target: SimTarget): PromotionCandidate {
    const { received, statusRequestedAt } = knownOf(target)
    return { instance: target.name, state: 'serving', isLiveReplica: !target.isDark, received, statusRequestedAt }
  }

  function promote (heir: SimTarget): void {
    promotions += 1
    const lost = acknowledged.filter(({ id }) => !holds(heir.log, id))
    if (lost.length > 0) violations.push(`promotion ${promotions} of ${heir.name} lost ${lost.length} acknowledged writes`)
    primary.isStopped = true
    primary = heir
    term += 1
    answered = []
  }

  /** Time at which the oldest write of this home that is not answered was sent. */
  function oldestWriteAt (): number {
    const isOpen = (entry: Entry) => entry.home === homes && entry.term === term && !acknowledged.includes(entry)
    return Math.min(...primary.log.filter(isOpen).map(({ sent }) => sent.at))
  }

  /** Confirms the last loss of a target once every replica is known to hold everything acknowledged before it. */
  function confirmLoss (): void {
    const others = knownReplicas().map((target) => ({ isLiveReplica: !target.isDark, received: knownOf(target).received }))
    if (isLossConfirmed({ history: home.history, oldestWriteAt: oldestWriteAt(), others })) isLossUnconfirmed = false
  }

  const handlers: Readonly<Record<EventKind, (n: number) => void>> = {
    write () {
      const sent = { at: now, followed: home.history.latest() }
      if (!primary.isStopped) primary.log = [...primary.log, { id: nextId++, term, offset: primary.log.length + 1, sent, home: homes }]
    },
    replicate: (n) => replicate(pick(n), 1 + n % 3),
    acknowledge () {
      const [first, ...rest] = answered
      if (first === undefined) return
      answered = rest
      home.history.record(first.position, now, first.entry.sent)
      acknowledged.push(first.entry)
    },
    ask: (n) => askStatus(pick(n)),
    answer: (n) => answerStatus(pick(n)),
    probe () {
      for (const target of knownReplicas()) {
        askStatus(target)
        answerStatus(target)
      }
    },
    cut (n) {
      pick(n).isCut = true
    },
    mend (n) {
      pick(n).isCut = false
    },
    darken (n) {
      const target = pick(n)
      target.isDark = true
      Object.assign(knownOf(target), { statusRequestedAt: -Infinity, askedAt: undefined, isConnected: false })
    },
    lighten (n) {
      pick(n).isDark = false
    },
    restartEmpty (n) {
      const target = pick(n)
      target.log = []
      Object.assign(knownOf(target), { statusRequestedAt: -Infinity, askedAt: undefined, isConnected: false })
      home.history.recordCopyLoss(now)
      isLossUnconfirmed = true
    },
    leave (n) {
      if (replicas().length < 2) return
      targets = targets.filter((target) => target !== pick(n))
      isLossUnconfirmed = true
      home.history.recordCopyLoss(now)
    },
    forget (n) {
      const target = pick(n)
      if (knownReplicas().length < 2 || target.isUnknown) return
      target.isUnknown = true
      home.known.delete(target.name)
      isLossUnconfirmed = true
      home.history.recordCopyLoss(now)
    },
    recall (n) {
      pick(n).isUnknown = false
    },
    changeHome () {
      answered = []
      home = startHome()
      if (isLossUnconfirmed) home.history.recordCopyLoss(now)
    },
    losePrimary () {
      primary.isDark = true
    },
    rejoin (n) {
      const target = pick(n)
      target.isStopped = false
    },
    replacePrimary () {
      const heir = choosePromotionTarget({
        primary: undefined,
        others: knownReplicas().map(candidateOf),
        acknowledged: home.history.isFloorKnown() ? home.history.latest() : undefined,
        provenAcknowledged: home.history.provenAcknowledged(),
        lastAcknowledgedAt: home.history.lastRecordedAt(),
        acknowledgedBeforeLoss: home.history.acknowledgedBeforeLoss(),
        homeExclusiveSince: home.startedAt,
        copies: knownReplicas().length + 1,
      })
      const target = replicas().find(({ name }) => name === heir)
      if (target !== undefined) promote(target)
    },
  }
  return {
    play ({ kind, n }: Event): void {
      now += 1
      handlers[kind](n)
    },
    violations: () => violations,
    promotions: () => promotions,
  }
}

const EVENTS = fc.array(fc.record({ kind: fc.constantFrom(...EVENT_KINDS), n: fc.nat({ max: 11 }) }), { minLength: 60, maxLength: 90, size: 'max' })

function playAll (names: readonly string[], events: readonly Event[]) {
  const model = createGroupModel(names)
  for (const event of events) model.play(event)
  return model
}

test('no promotion loses an acknowledged write, whatever lags, is cut, dark, restarted empty or leaves, with any homes and promotions in a row', () => {
  let promotions = 0
  fc.assert(fc.property(EVENTS, fc.constantFrom(['a', 'b', 'c'], ['a', 'b', 'c', 'd']), (events, names) => {
    const model = playAll(names, events)
    promotions += model.promotions()
    expect(model.violations()).toEqual([])
  }), { seed: 20261204, numRuns: 20_000, endOnFailure: true })
  // The histories are of use only if many of them promote.
  expect(promotions).toBeGreaterThan(1000)
})

// Guards against LOST: a home confirmed the loss of a replica while a write that only this replica had received was unanswered.
test('the loss of a replica is not confirmed while a write that it may have received is unanswered', () => {
  const steps: ReadonlyArray<readonly [EventKind, number]> = [
    ['probe', 0], ['write', 0], ['write', 0],
    // Replica b alone receives both writes and leaves before they are answered.
    ['replicate', 2], ['leave', 0], ['probe', 0], ['acknowledge', 0], ['replicate', 0], ['acknowledge', 0],
    ['changeHome', 0], ['losePrimary', 0], ['probe', 0], ['replacePrimary', 0],
  ]
  const model = playAll(['a', 'b', 'c'], steps.map(([kind, n]) => ({ kind, n })))
  expect(model.violations()).toEqual([])
  expect(model.promotions()).toBe(0)
})

// Guards against LOST: control removed a replica that ran, it confirmed writes, and a home promoted one that lacked them.
test('a home does not promote a replica that lacks a write that it has acknowledged, whichever targets that run are missing in its view', () => {
  const kinds = [
    'write', 'write', 'replicate', 'replicate', 'replicate', 'acknowledge', 'acknowledge', 'probe', 'probe', 'ask', 'answer', 'cut', 'mend', 'forget', 'forget',
    'recall', 'darken', 'lighten', 'losePrimary', 'restartEmpty', 'leave', 'replacePrimary',
  ] as const
  const steps = fc.array(fc.record({ kind: fc.constantFrom(...kinds), n: fc.nat({ max: 11 }) }), { minLength: 60, maxLength: 90, size: 'max' })
  let promotions = 0
  fc.assert(fc.property(steps, fc.constantFrom(['a', 'b', 'c'], ['a', 'b', 'c', 'd']), (events, names) => {
    const model = createGroupModel(names)
    // The first term of a home: the offsets of its writes are known from the first one on.
    for (const event of events) if (model.promotions() === 0) model.play(event)
    promotions += model.promotions()
    expect(model.violations()).toEqual([])
  }), { seed: 20261205, numRuns: 20_000, endOnFailure: true })
  expect(promotions).toBeGreaterThan(1000)
})

test('a replica whose status is older than the last acknowledgement is not taken for the most advanced one', () => {
  const steps: ReadonlyArray<readonly [EventKind, number]> = [
    ['write', 0], ['replicate', 0], ['acknowledge', 0], ['replicate', 1], ['ask', 0], ['answer', 0], ['ask', 1], ['answer', 1],
    // Replica c alone receives the next write, after both statuses were read.
    ['cut', 0], ['write', 0], ['replicate', 1], ['acknowledge', 0], ['replacePrimary', 0],
  ]
  const events = steps.map(([kind, n]) => ({ kind, n }))
  expect(playAll(['a', 'b', 'c'], events).violations()).toEqual([])
  expect(playAll(['a', 'b', 'c'], events).promotions()).toBe(0)
  const asked = [...events, { kind: 'ask', n: 0 }, { kind: 'answer', n: 0 }, { kind: 'ask', n: 1 }, { kind: 'answer', n: 1 }, { kind: 'replacePrimary', n: 0 }] as const
  expect(playAll(['a', 'b', 'c'], asked).promotions()).toBe(1)
  expect(playAll(['a', 'b', 'c'], asked).violations()).toEqual([])
})

// Guards against LOST: the same, step by step.
test('a replica that lacks the writes which only a removed target has received is not promoted; the removed target is, once it is known again', () => {
  const steps: ReadonlyArray<readonly [EventKind, number]> = [
    ['write', 0], ['replicate', 0], ['replicate', 1], ['acknowledge', 0], ['probe', 0],
    // Replica b is removed while it runs, and alone receives the next write.
    ['forget', 0], ['write', 0], ['replicate', 0], ['acknowledge', 0], ['probe', 0], ['replacePrimary', 0],
  ]
  const events = steps.map(([kind, n]) => ({ kind, n }))
  expect(playAll(['a', 'b', 'c'], events).violations()).toEqual([])
  expect(playAll(['a', 'b', 'c'], events).promotions()).toBe(0)
  const recalled = [...events, { kind: 'recall', n: 0 }, { kind: 'probe', n: 0 }, { kind: 'replacePrimary', n: 0 }] as const
  expect(playAll(['a', 'b', 'c'], recalled).promotions()).toBe(1)
  expect(playAll(['a', 'b', 'c'], recalled).violations()).toEqual([])
})
