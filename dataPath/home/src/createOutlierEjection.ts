import { type Access } from '@briarpick/types'
import { createResponseAverage, type ResponseAverage } from './createResponseAverage.js'

/** Result of one statement on a target. */
export interface TargetResult {
  readonly access: Access
  readonly ms: number
  /** True if the target failed or rejected the statement, or did not answer it. */
  readonly isFailure: boolean
  /** Latency objective of the statement, in ms; statements with the same one count as one kind. */
  readonly aimMs: number
}

/** How far a target may be used. */
export interface TargetStanding {
  /** Statements in flight from which on the target is held back; Infinity while nothing is wrong with it. */
  readonly limit: number
  /** Time that a read loses on this target compared with the others, in ms; 0 while nothing is wrong with it. */
  readonly extraMs: number
}

/** Reason for which a target is held back. */
export type EjectionReason = 'slow' | 'failing' | 'flapping'

/** A change of a target's standing, with the inputs of the decision. */
export interface EjectionEvent {
  readonly event: 'targetEjected' | 'targetTrial' | 'targetReturning' | 'targetReturned'
  readonly instance: string
  readonly reason: EjectionReason
  /** Average time of its reads as a multiple of the usual time of their kind, and that of the others; 0 if unknown. */
  readonly slowness: number
  readonly othersSlowness: number
  readonly failureShare: number
  /** Age of the newest response, in ms. */
  readonly ageMs: number
  readonly holdMs: number
  readonly ejections: number
}

/** Target as seen by its prober. */
export interface TargetPresence {
  readonly instance: string
  readonly isAnswering: boolean
}

/** Outlier ejection among the targets of one database. */
export interface OutlierEjection {
  record: (instance: string, result: TargetResult) => void
  standing: (instance: string) => TargetStanding
  /** Decides again for all targets; to be called periodically. Targets that are not named are forgotten. */
  check: (targets: readonly TargetPresence[]) => readonly EjectionEvent[]
  /** What the decisions rest on, as `instance:phase:slowness:share of failures:age in ms` for each target. */
  describe: () => string
}

type Phase =
  | { readonly kind: 'used' }
  | { readonly kind: 'ejected', readonly until: number }
  /** One statement at a time, until one succeeds. */
  | { readonly kind: 'trial' }
  /** The number of statements in flight doubles with each step. */
  | { readonly kind: 'returning', readonly since: number }

interface Target {
  /** Times of reads since the last return, as multiples of the usual time of their kind. */
  reads: ResponseAverage
  phase: Phase
  reason: EjectionReason
  /** Recent results and failures among them, decaying. */
  results: number
  failures: number
  decayedAt: number
  /** Latency objective and usual time of the newest read, in ms. */
  aimMs: number
  usualMs: number
  /** Time since which the target has been slower than the others, in ms. */
  slowSince: number | undefined
  isAnswering: boolean
  /** False until the first probe is answered: a home that has just begun has seen no target stop. */
  hasAnswered: boolean
  ejections: number
  ejectedAt: number
  trial: 'none' | 'succeeded' | 'failed'
  standing: TargetStanding
}

/** Time constant with which results are forgotten, in ms. */
const MEMORY_MS = 2000
/** Recent results from which on a share of failures counts. */
const MIN_RESULTS = 8
/** Share of failures that costs callers more than the room of the target is worth: one in five reads pays for a second attempt. */
const MAX_FAILURE_SHARE = 0.2
/** Multiple of the others' values from which on a target is an outlier; what all targets do is load. */
const OUTLIER_FACTOR = 2.5
/** Share of the latency objective that a target must cost more than the others before its slowness matters to callers. */
const MIN_SLOWNESS_OF_AIM = 0.1
/** Largest number of kinds of statements with a usual time. */
const MAX_KINDS = 32
/** Time for which a target must have been slow, in ms: when all become slow at once, their averages do not rise equally fast. */
const MIN_SLOW_MS = 250
/** Share of the targets that may be ejected at once. */
const MAX_EJECTED_SHARE = 0.5
/** First time for which a target is ejected, in ms; it doubles with each ejection, up to the longest. */
const FIRST_HOLD_MS = 1000
const LONGEST_HOLD_MS = 8000
/** Time in use after which earlier ejections are forgotten, in ms. */
const FORGET_EJECTIONS_MS = 20_000
/** Duration of a step of the return, in ms: some statements long. */
const RETURN_STEP_MS = 250
/** Statements in flight at which the return ends. */
const FULL_RETURN = 8
/** Time that a statement loses if a flapping target stops before its answer, in ms: until its connection fails. */
const FLAP_EXTRA_MS = 50
const UNLIMITED: TargetStanding = { limit: Infinity, extraMs: 0 }

/**
 * Creates the ejection for a group without results. Load patterns: a target that is slow or fails a part of its statements although
 * its health is good; a target that goes down and up by turns. An ejected target still serves what no other target can, and what
 * would lose more time in the queue.
 */
export function createOutlierEjection ({ now }: { readonly now: () => number }): OutlierEjection {
  const targets = new Map<string, Target>()
  /** Times of reads on all targets, in ms, by the latency objective. */
  const usualReads = new Map<number, ResponseAverage>()

  function get (instance: string): Target {
    const target = targets.get(instance) ?? createTarget(now())
    targets.set(instance, target)
    return target
  }

  /** Records a read relative to the usual time of its kind: targets do not serve equal mixes of short and long kinds. */
  function recordRead (target: Target, ms: number, aimMs: number): void {
    const at = now()
    const usual = usualReads.get(aimMs) ?? createResponseAverage()
    if (usualReads.size < MAX_KINDS) usualReads.set(aimMs, usual)
    usual.record(ms, at)
    const usualMs = usual.average(at)
    if (usualMs === undefined) return
    target.aimMs = aimMs
    target.usualMs = usualMs
    target.reads.record(ms / usualMs, at)
  }

  function othersOf (target: Target): readonly Target[] {
    return [...targets.values()].filter((other) => other !== target && other.isAnswering)
  }

  function findReason (target: Target): EjectionReason | undefined {
    if (isFailing(target)) return 'failing'
    if (!isSlow(target)) target.slowSince = undefined
    else target.slowSince ??= now()
    return target.slowSince !== undefined && now() - target.slowSince >= MIN_SLOW_MS ? 'slow' : undefined
  }

  function isFailing (target: Target): boolean {
    const share = failureShare(target)
    const usualShare = lowerMedian(othersOf(target).filter(({ results }) => results >= MIN_RESULTS).map(failureShare)) ?? 0
    return target.results >= MIN_RESULTS && share >= MAX_FAILURE_SHARE && share >= usualShare * OUTLIER_FACTOR
  }

  function isSlow (target: Target): boolean {
    const slowness = target.reads.average(now())
    const usual = othersSlowness(target)
    if (slowness === undefined || usual === undefined || slowness < usual * OUTLIER_FACTOR) return false
    return (slowness - usual) * target.usualMs >= target.aimMs * MIN_SLOWNESS_OF_AIM
  }

  /**
   * Usual slowness of the other targets; undefined if none has one. It is the upper median: a primary that serves few reads is
   * faster than its replicas under load.
   */
  function othersSlowness (target: Target): number | undefined {
    const averages = othersOf(target).map(({ reads }) => reads.average(now())).filter((average) => average !== undefined)
    return sortAscending(averages)[averages.length >> 1]
  }

  function mayEject (): boolean {
    const ejected = [...targets.values()].filter(({ phase }) => phase.kind === 'ejected' || phase.kind === 'trial').length
    return ejected + 1 <= targets.size * MAX_EJECTED_SHARE
  }

  function eject (target: Target, reason: EjectionReason): EjectionEvent['event'] {
    const at = now()
    if (at - target.ejectedAt > FORGET_EJECTIONS_MS) target.ejections = 0
    target.ejections += 1
    target.ejectedAt = at
    target.reason = reason
    target.phase = { kind: 'ejected', until: at + holdMs(target) }
    target.trial = 'none'
    return 'targetEjected'
  }

  function startReturn (target: Target): EjectionEvent['event'] {
    target.phase = { kind: 'returning', since: now() }
    // What was observed before the return would eject the target again.
    target.reads = createResponseAverage()
    target.slowSince = undefined
    target.results = 0
    target.failures = 0
    return 'targetReturning'
  }

  /** Counts each stop of a target. The first return is by steps; from the second stop on the target is ejected for a time as well. */
  function updatePresence (target: Target, isAnswering: boolean): EjectionEvent['event'] | undefined {
    const hasReturned = isAnswering && !target.isAnswering && target.hasAnswered
    target.isAnswering = isAnswering
    if (isAnswering) target.hasAnswered = true
    if (!hasReturned) return undefined
    const isFirst = target.ejections === 0 || now() - target.ejectedAt > FORGET_EJECTIONS_MS
    const event = eject(target, 'flapping')
    return isFirst ? startReturn(target) : event
  }

  const transitions: { readonly [K in Phase['kind']]: (target: Target, phase: Extract<Phase, { kind: K }>) => EjectionEvent['event'] | undefined } = {
    used (target) {
      const reason = findReason(target)
      return reason !== undefined && mayEject() ? eject(target, reason) : undefined
    },
    ejected (target, { until }) {
      if (now() < until) return undefined
      target.phase = { kind: 'trial' }
      return 'targetTrial'
    },
    trial (target) {
      if (target.trial === 'none') return undefined
      return target.trial === 'failed' ? eject(target, target.reason) : startReturn(target)
    },
    returning (target, { since }) {
      const reason = findReason(target)
      if (reason !== undefined && mayEject()) return eject(target, reason)
      if (returnLimit(now() - since) < FULL_RETURN) return undefined
      target.phase = { kind: 'used' }
      return 'targetReturned'
    },
  }

  function updateStanding (target: Target): void {
    const { phase } = target
    if (phase.kind === 'used') {
      target.standing = UNLIMITED
      return
    }
    const limit = phase.kind === 'ejected' ? 0 : phase.kind === 'trial' ? 1 : returnLimit(now() - phase.since)
    const slowness = target.reads.average(now()) ?? 0
    const slownessMs = Math.max(0, slowness - (othersSlowness(target) ?? slowness)) * target.usualMs
    const flapMs = target.reason === 'flapping' ? FLAP_EXTRA_MS : 0
    target.standing = { limit, extraMs: slownessMs + flapMs + target.usualMs * failureShare(target) }
  }

  function describeTarget ([instance, target]: readonly [string, Target]): string {
    const slowness = (target.reads.average(now()) ?? 0).toFixed(2)
    return `${instance}:${target.phase.kind}:${slowness}:${failureShare(target).toFixed(2)}:${Math.round(now() - target.decayedAt)}`
  }

  function describeEvent (instance: string, target: Target, event: EjectionEvent['event']): EjectionEvent {
    return {
      event,
      instance,
      reason: target.reason,
      slowness: roundToHundredth(target.reads.average(now()) ?? 0),
      othersSlowness: roundToHundredth(othersSlowness(target) ?? 0),
      failureShare: roundToHundredth(failureShare(target)),
      ageMs: Math.round(now() - target.reads.recordedAt()),
      holdMs: event === 'targetEjected' ? holdMs(target) : 0,
      ejections: target.ejections,
    }
  }

  function check (present: readonly TargetPresence[]): readonly EjectionEvent[] {
    const events: EjectionEvent[] = []
    const instances = new Set(present.map(({ instance }) => instance))
    for (const instance of [...targets.keys()]) if (!instances.has(instance)) targets.delete(instance)
    for (const { instance, isAnswering } of present) {
      const target = get(instance)
      const transition = transitions[target.phase.kind] as (target: Target, phase: Phase) => EjectionEvent['event'] | undefined
      const event = updatePresence(target, isAnswering) ?? transition(target, target.phase)
      if (event !== undefined) events.push(describeEvent(instance, target, event))
      updateStanding(target)
    }
    return events
  }

  return {
    record (instance, { access, ms, isFailure, aimMs }) {
      const target = get(instance)
      const at = now()
      decay(target, at)
      target.results += 1
      if (isFailure) target.failures += 1
      else if (access === 'read') recordRead(target, ms, aimMs)
      if (target.phase.kind === 'trial') target.trial = isFailure ? 'failed' : 'succeeded'
    },
    standing: (instance) => targets.get(instance)?.standing ?? UNLIMITED,
    check,
    describe: () => [...targets].map(describeTarget).join(' '),
  }
}

function createTarget (at: number): Target {
  return {
    reads: createResponseAverage(),
    phase: { kind: 'used' },
    reason: 'slow',
    results: 0,
    failures: 0,
    decayedAt: at,
    aimMs: 0,
    usualMs: 0,
    slowSince: undefined,
    isAnswering: false,
    hasAnswered: false,
    ejections: 0,
    ejectedAt: -Infinity,
    trial: 'none',
    standing: UNLIMITED,
  }
}

function decay (target: Target, at: number): void {
  const factor = Math.exp((target.decayedAt - at) / MEMORY_MS)
  target.results *= factor
  target.failures *= factor
  target.decayedAt = at
}

function failureShare ({ results, failures }: Target): number {
  return results === 0 ? 0 : failures / results
}

function holdMs ({ ejections }: Target): number {
  return Math.min(LONGEST_HOLD_MS, FIRST_HOLD_MS * 2 ** (ejections - 1))
}

function returnLimit (elapsedMs: number): number {
  return 2 ** Math.floor(elapsedMs / RETURN_STEP_MS)
}

function lowerMedian (values: readonly number[]): number | undefined {
  return sortAscending(values)[(values.length - 1) >> 1]
}

function sortAscending (values: readonly number[]): readonly number[] {
  return [...values].sort((a, b) => a - b)
}

function roundToHundredth (value: number): number {
  return Math.round(value * 100) / 100
}
