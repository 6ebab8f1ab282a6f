import { type Address, hasReached, type LogPosition, ORIGIN, type Reachability, type TargetRole } from '@briarpick/types'
import { type AckHistory } from './createAckHistory.js'
import { type ConnectFailure, type TargetDriver, type TargetLink } from './targetDriver.js'

/** Last observed state of a target. */
export interface StatementTargetObservation {
  readonly reachability: Reachability | 'misrouted'
  /** Time of the last response, in ms; -Infinity before the first. */
  readonly answeredAt: number
  /** Time when the first probe or statement since the last response was sent, in ms; undefined if there is none. */
  readonly silentSince: number | undefined
  /** Time of the first refused connection since the last response, in ms; undefined if none was refused. */
  readonly refusedSince: number | undefined
  readonly role: TargetRole | null
  readonly term: number
  /** Position received. */
  readonly received: LogPosition
  /** Position applied. */
  readonly applied: LogPosition
  /** Time when the probe that returned the last status was sent, in ms; -Infinity if its connection has closed since. */
  readonly statusRequestedAt: number
  readonly lagMs: number
  /** Time by which it received acknowledged writes late when last observed, in ms; 0 if none was missing. */
  readonly receiveLagMs: number
}

/** Failure detector of one target: probes its status and tracks the responses to the statements sent to it. */
export interface TargetProber {
  observation: () => StatementTargetObservation
  /** Records an applied position that another connection received. */
  recordApplied: (position: LogPosition | null) => void
  /** Records that a read was refused since the target lacks a position that had been acknowledged for a time, in ms. */
  recordLacking: (ageMs: number) => void
  /** Called when another connection failed; sends a probe. */
  onConnectionFailure: () => void
  /** Records a response on another connection. */
  recordResponse: () => void
  /** Records a sent statement; the returned function is to be called when it ends. */
  trackStatement: () => () => void
  /** Sends a probe now, unless one is in flight. */
  probeNow: () => void
  /** Commands the target to step down if it is primary of a lower term; ignored without a connection. */
  stepDown: (term: number) => void
  close: () => void
}

/** Options of a prober. */
export interface TargetProberOptions extends Pick<AckHistory, 'missingMs'> {
  readonly address: Address
  readonly database: string
  readonly instance: string
  readonly driver: TargetDriver
  readonly now: () => number
  /** Called after each probe, whatever its result. */
  readonly onStatus: () => void
  /** Called after each connection attempt that succeeded. */
  readonly onConnected: () => void
  /** Called if the target has less of the log than before: it restarted without it, or was rolled back. */
  readonly onLogShortened: () => void
  /** True while the home needs the current state, as during the replacement of a primary; probes then use the short interval. */
  readonly isUrgent: () => boolean
}

/** Probe interval of a suspected target, in ms. */
const SUSPECT_PROBE_INTERVAL_MS = 150
/** Probe interval of a target whose responses to statements show that it is healthy, in ms. */
const HEALTHY_PROBE_INTERVAL_MS = 1500
/** A target is suspected while a statement has been waiting for this long, in ms: several times the usual response time. */
const STATEMENT_SUSPICION_MS = 250
/** A target is suspected if it has sent no response for this long, in ms. */
const QUIET_SUSPICION_MS = 1000
/** Lag above which a replica is probed at the short interval, in ms: responses to statements don't contain the received position. */
const LAG_SUSPICION_MS = 60
/** Time to wait for a status, in ms; the slots of the target may be busy. */
const PROBE_TIMEOUT_MS = 300
const CONNECT_TIMEOUT_MS = 350
/** Probe interval while connections are refused, in ms. */
const REFUSED_PROBE_INTERVAL_MS = 50
/** Interval at which the time of the next probe is checked, in ms. */
const TIMER_INTERVAL_MS = 50

const NOTHING_OBSERVED: StatementTargetObservation = {
  reachability: 'silent',
  answeredAt: -Infinity,
  silentSince: undefined,
  refusedSince: undefined,
  role: null,
  term: 0,
  received: ORIGIN,
  applied: ORIGIN,
  statusRequestedAt: -Infinity,
  lagMs: 0,
  receiveLagMs: 0,
}

/** Creates a prober and sends the first probe. */
export function createTargetProber (opts: TargetProberOptions): TargetProber {
  let observed = NOTHING_OBSERVED
  let link: TargetLink | undefined
  const inFlight = new Set<{ readonly at: number }>()
  let lastProbeAt = -Infinity
  let probing = false
  let closed = false

  function update (change: Partial<StatementTargetObservation>): void {
    observed = { ...observed, ...change }
  }

  function answeredFields (): Partial<StatementTargetObservation> {
    return { reachability: 'ok', answeredAt: opts.now(), silentSince: undefined, refusedSince: undefined }
  }

  const failureHandlers: Readonly<Record<ConnectFailure, () => void>> = {
    refused: () => update({ reachability: 'refused', refusedSince: observed.refusedSince ?? opts.now() }),
    silent: () => update({ reachability: 'silent' }),
    misrouted: () => update({ reachability: 'misrouted', refusedSince: observed.refusedSince ?? opts.now() }),
    // The target responds, but all its connections are in use.
    connectionLimit: () => update({ answeredAt: opts.now(), silentSince: undefined, refusedSince: undefined }),
  }

  async function probe (): Promise<void> {
    const probedAt = opts.now()
    update({ silentSince: observed.silentSince ?? probedAt })
    const current = link ?? await open()
    if (current === undefined || closed) return
    const answer = await withTimeout(current.run({ kind: 'status' }), PROBE_TIMEOUT_MS)
    if (answer === undefined) {
      drop(current)
      update({ reachability: 'silent' })
      return
    }
    const status = opts.driver.readStatus(answer)
    update(answeredFields())
    if (status === undefined) return
    if (!hasReached(status.received, observed.received)) opts.onLogShortened()
    const applied = answer.position ?? observed.applied
    const receiveLagMs = opts.missingMs(status.received, probedAt)
    const { role, term, received, lagMs } = status
    update({ role, term, received, lagMs, receiveLagMs, applied, statusRequestedAt: probedAt })
  }

  async function open (): Promise<TargetLink | undefined> {
    const result = await opts.driver.connect({ ...opts, team: null, timeoutMs: CONNECT_TIMEOUT_MS })
    if (result.kind === 'failed') {
      failureHandlers[result.reason]()
      return undefined
    }
    if (closed) {
      result.link.close()
      return undefined
    }
    link = result.link
    opts.onConnected()
    link.onClose(() => {
      if (link !== result.link) return
      link = undefined
      update({ statusRequestedAt: -Infinity })
      startProbe()
    })
    return link
  }

  function drop (dropped: TargetLink): void {
    if (link === dropped) {
      link = undefined
      update({ statusRequestedAt: -Infinity })
    }
    dropped.close()
  }

  function startProbe (): void {
    if (probing || closed) return
    probing = true
    probe().catch(() => update({ reachability: 'refused', refusedSince: observed.refusedSince ?? opts.now() }))
      .finally(() => {
        probing = false
        if (closed) return
        lastProbeAt = opts.now()
        opts.onStatus()
      })
      .catch(() => {})
  }

  function probeIntervalMs (): number {
    if (observed.reachability === 'refused' || observed.reachability === 'misrouted') return REFUSED_PROBE_INTERVAL_MS
    return isSuspect() ? SUSPECT_PROBE_INTERVAL_MS : HEALTHY_PROBE_INTERVAL_MS
  }

  function isSuspect (): boolean {
    if (opts.isUrgent() || observed.reachability !== 'ok' || observed.role === null) return true
    if (Math.max(observed.lagMs, observed.receiveLagMs) > LAG_SUSPICION_MS) return true
    const at = opts.now()
    const [oldest] = inFlight
    return at - observed.answeredAt > QUIET_SUSPICION_MS || (oldest !== undefined && at - oldest.at > STATEMENT_SUSPICION_MS)
  }

  startProbe()
  const timer = setInterval(() => {
    if (opts.now() - lastProbeAt >= probeIntervalMs()) startProbe()
  }, TIMER_INTERVAL_MS)

  return {
    trackStatement () {
      const statement = { at: opts.now() }
      inFlight.add(statement)
      update({ silentSince: observed.silentSince ?? statement.at })
      return () => inFlight.delete(statement)
    },
    observation: () => observed,
    recordApplied (position) {
      if (position !== null) update({ applied: position })
    },
    recordLacking: (ageMs) => update({ receiveLagMs: Math.max(observed.receiveLagMs, ageMs) }),
    recordResponse: () => update(answeredFields()),
    onConnectionFailure: startProbe,
    probeNow: startProbe,
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

/** Resolves to the promise's value, or to undefined after the timeout, in ms. */
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
