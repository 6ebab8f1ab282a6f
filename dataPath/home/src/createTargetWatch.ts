import { type Address, type LogPosition, ORIGIN, type Reachability, type TargetRole } from '@briarpick/types'
import { type ConnectFailure, type TargetDriver, type TargetLink } from './targetDriver.js'

/** What a home knows of a target. */
export interface TargetKnowledge {
  readonly reachability: Reachability | 'misrouted'
  /** Time of the last answer, in ms; -Infinity before the first. */
  readonly answeredAt: number
  /** Since when something was asked or sent and nothing at all was answered, in ms; undefined if nothing waits. */
  readonly silentSince: number | undefined
  /** Since when connections are refused without an answer between, in ms; undefined if they are not. */
  readonly refusedSince: number | undefined
  readonly role: TargetRole | null
  readonly term: number
  /** Position received. */
  readonly received: LogPosition
  /** Position that the data has reached. */
  readonly applied: LogPosition
  /** Time when the last status was asked for, in ms. */
  readonly statusAskedAt: number
  readonly lagMs: number
}

/** Watches one target by asking for its status. */
export interface TargetWatch {
  knowledge: () => TargetKnowledge
  /** Notes what another connection learned. */
  noteApplied: (position: LogPosition | null) => void
  noteRefused: () => void
  noteAnswer: () => void
  /** Notes a statement that was sent; the returned function is called with its end. */
  noteSent: () => () => void
  /** Asks at once. */
  hurry: () => void
  /** Orders the target to give up the lead of a lower term. */
  stepDown: (term: number) => void
  close: () => void
}

/** Options of a watch. */
export interface TargetWatchOptions {
  readonly address: Address
  readonly database: string
  readonly instance: string
  readonly driver: TargetDriver
  readonly now: () => number
  readonly onStatus: () => void
  /** True while the home needs to know the state at once, as when a primary is being replaced. */
  readonly isUrgent: () => boolean
}

/** Time between two questions to a target in doubt, in ms. */
const ASK_MS = 150
/** Time between two questions to a target whose answers to statements show that it is well, in ms. */
const CALM_ASK_MS = 1500
/** A target is in doubt while a statement has waited for its answer for this long, in ms: several times a usual statement. */
const DOUBT_MS = 250
/** A target without any answer for this long is in doubt, in ms. */
const QUIET_MS = 1000
/** Lag from which a replica's position is asked for often, in ms: its answers alone do not show how far it has received. */
const LAGGING_MS = 60
/** Longest time for an answer, in ms; the slots may be busy. */
const ANSWER_TIMEOUT_MS = 300
const CONNECT_TIMEOUT_MS = 350
/** Time to the next try after a refused connection, in ms. */
const REFUSED_AGAIN_MS = 50

/** How often the pause is looked at, in ms. */
const LOOK_MS = 50

const NOTHING_KNOWN: TargetKnowledge = {
  reachability: 'silent',
  answeredAt: -Infinity,
  silentSince: undefined,
  refusedSince: undefined,
  role: null,
  term: 0,
  received: ORIGIN,
  applied: ORIGIN,
  statusAskedAt: -Infinity,
  lagMs: 0,
}

/** Starts watching. */
export function createTargetWatch (opts: TargetWatchOptions): TargetWatch {
  let known = NOTHING_KNOWN
  let link: TargetLink | undefined
  const sent = new Set<{ readonly at: number }>()
  let lastAskedAt = -Infinity
  let asking = false
  let closed = false

  function learn (change: Partial<TargetKnowledge>): void {
    known = { ...known, ...change }
  }

  function answered (): Partial<TargetKnowledge> {
    return { reachability: 'ok', answeredAt: opts.now(), silentSince: undefined, refusedSince: undefined }
  }

  const failures: Readonly<Record<ConnectFailure, () => void>> = {
    refused: () => learn({ reachability: 'refused', refusedSince: known.refusedSince ?? opts.now() }),
    silent: () => learn({ reachability: 'silent' }),
    misrouted: () => learn({ reachability: 'misrouted', refusedSince: known.refusedSince ?? opts.now() }),
    // The target answers, and has no connection left.
    connectionLimit: () => learn({ answeredAt: opts.now(), silentSince: undefined, refusedSince: undefined }),
  }

  async function ask (): Promise<void> {
    const askedAt = opts.now()
    learn({ silentSince: known.silentSince ?? askedAt })
    const current = link ?? await open()
    if (current === undefined || closed) return
    const answer = await withTimeout(current.run({ kind: 'status' }), ANSWER_TIMEOUT_MS)
    if (answer === undefined) {
      drop(current)
      learn({ reachability: 'silent' })
      return
    }
    const status = opts.driver.readStatus(answer)
    learn(answered())
    if (status === undefined) return
    const applied = answer.position ?? known.applied
    learn({ role: status.role, term: status.term, received: status.received, lagMs: status.lagMs, applied, statusAskedAt: askedAt })
  }

  async function open (): Promise<TargetLink | undefined> {
    const result = await opts.driver.connect({ ...opts, timeoutMs: CONNECT_TIMEOUT_MS })
    if (result.kind === 'failed') {
      failures[result.reason]()
      return undefined
    }
    if (closed) {
      result.link.close()
      return undefined
    }
    link = result.link
    link.onClose(() => {
      if (link === result.link) link = undefined
    })
    return link
  }

  function drop (dropped: TargetLink): void {
    if (link === dropped) link = undefined
    dropped.close()
  }

  function askOnce (): void {
    if (asking || closed) return
    asking = true
    ask().catch(() => learn({ reachability: 'refused', refusedSince: known.refusedSince ?? opts.now() }))
      .finally(() => {
        asking = false
        if (closed) return
        lastAskedAt = opts.now()
        opts.onStatus()
      })
      .catch(() => {})
  }

  function pauseMs (): number {
    if (known.reachability === 'refused' || known.reachability === 'misrouted') return REFUSED_AGAIN_MS
    return isInDoubt() ? ASK_MS : CALM_ASK_MS
  }

  function isInDoubt (): boolean {
    if (opts.isUrgent() || known.reachability !== 'ok' || known.role === null || known.lagMs > LAGGING_MS) return true
    const at = opts.now()
    const [oldest] = sent
    return at - known.answeredAt > QUIET_MS || (oldest !== undefined && at - oldest.at > DOUBT_MS)
  }

  askOnce()
  const timer = setInterval(() => {
    if (opts.now() - lastAskedAt >= pauseMs()) askOnce()
  }, LOOK_MS)

  return {
    noteSent () {
      const mark = { at: opts.now() }
      sent.add(mark)
      learn({ silentSince: known.silentSince ?? mark.at })
      return () => sent.delete(mark)
    },
    knowledge: () => known,
    noteApplied (position) {
      if (position !== null) learn({ applied: position })
    },
    noteAnswer: () => learn(answered()),
    noteRefused: askOnce,
    hurry: askOnce,
    stepDown (term) {
      link?.run({ kind: 'stepDown', term }).catch(() => {})
    },
    close () {
      closed = true
      clearInterval(timer)
      link?.close()
    },
  }
}

/** The promise's value, or undefined if it takes longer. */
export function withTimeout<T> (promise: Promise<T>, timeoutMs: number): Promise<T | undefined> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(() => resolve(undefined), timeoutMs)
    promise.then((value) => {
      clearTimeout(timer)
      resolve(value)
    }, (err) => {
      clearTimeout(timer)
      reject(err)
    })
  })
}
