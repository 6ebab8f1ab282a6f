import { type Address } from '@briarpick/types'
import { holderMs } from '@briarpick/clock'
import { createFoundingNode, type FoundingDecision, type FoundingResponse, type FoundingStatus } from '@briarpick/consensus-founding'
import { type Service } from '@briarpick/kernel'
import { createLogger } from '@briarpick/logs'
import { type Metrics } from '@briarpick/metrics'
import { createRpcClients } from '@briarpick/rpc'
import { type FoundingPart } from './openFounding.js'
import { checkFoundingRequest, checkFoundingResponse } from './requestSchemas.js'

/** Options of the founding of a cluster. */
export interface ClusterFoundingOptions {
  /** Name of this daemon. */
  readonly name: string
  readonly part: FoundingPart
  readonly addressOf: (name: string) => Address
  /** True if this daemon knows a leader of the cluster. */
  readonly hasLeader: () => boolean
  readonly random: () => number
  readonly metrics: Metrics
}

/** The part of a control daemon in the founding of its cluster, until a leader is known and beyond, for those that start late. */
export interface ClusterFounding extends Service {
  /** Handles the request of another daemon. */
  respond: (raw: unknown) => FoundingResponse
  /** Resolves once this daemon, a candidate, is an initial voter or has to join. */
  readonly decided: Promise<FoundingOutcome>
  /** Tells the initial voters, of which this daemon is one, to the others and to the seeds while no leader is known. */
  announce: (voters: readonly string[]) => void
  status: () => ClusterFoundingStatus
}

/** What a candidate does in the end. */
export type FoundingOutcome = Exclude<FoundingDecision, { readonly kind: 'undecided' }>

/** How far the founding is, as seen by one control daemon. */
export interface ClusterFoundingStatus extends FoundingStatus {
  /** Names of the seeds at the first start. */
  readonly seeds: readonly string[]
  /** Why no cluster is founded yet, as far as this daemon knows; null if one is. */
  readonly reason: FoundingReason | null
}

/** Why no cluster is founded yet. */
export type FoundingReason = 'noCandidate' | 'awaitingCandidates' | 'seedsForgot' | 'seedsUnreachable' | 'noAgreementYet' | 'awaitingCluster'

/** RPC method of all messages by which the initial voters are chosen. */
export const FOUNDING_METHOD = 'control.founding'

const TICK_INTERVAL_MS = 20
/** Interval of checks where nothing is to be decided, in ms. */
const IDLE_INTERVAL_MS = 200
/** Interval of the requests to a seed, in ms. */
const ASK_INTERVAL_MS = 50
const RESPONSE_TIMEOUT_MS = 300
/** Interval at which an initial voter tells the others while no leader is known, in ms. */
const ANNOUNCE_INTERVAL_MS = 200
/** Interval of the reports that no cluster is founded yet, in ms. */
const REPORT_INTERVAL_MS = 5000
const log = createLogger('control:founding')

/** Starts the part of a daemon in the founding of its cluster. */
export function createClusterFounding (opts: ClusterFoundingOptions): ClusterFounding {
  const { part: { seeds, hasDisk, isCandidate, vote, storeVote }, addressOf } = opts
  const node = createFoundingNode({ name: opts.name, proposer: `${opts.name}/${crypto.randomUUID()}`, seeds, isCandidate, vote, storeVote })
  const clients = createRpcClients({ connectTimeoutMs: RESPONSE_TIMEOUT_MS })
  const startedAt = holderMs()
  const others = seeds.filter((seed) => seed !== opts.name)
  const askedAt = new Map<string, number>()
  const pending = new Set<string>()
  const failures = new Map<string, string>()
  let resolveDecided: (outcome: FoundingOutcome) => void = () => {}
  const decided = new Promise<FoundingOutcome>((resolve) => { resolveDecided = resolve })
  let announced: readonly string[] | undefined
  let announcedAt: number = -Infinity
  let reportedAt: number = startedAt
  let isDecided = !isCandidate
  let isFounded = false
  let timer = setInterval(tick, isCandidate ? TICK_INTERVAL_MS : IDLE_INTERVAL_MS)
  opts.metrics.gauge('cluster_founded', () => Number(reasonNow() === null))

  function tick (): void {
    const now = holderMs()
    isFounded ||= opts.hasLeader() || node.status(now).chosen !== null
    if (!isDecided) runCandidate(now)
    if (announced !== undefined && !opts.hasLeader() && now - announcedAt >= ANNOUNCE_INTERVAL_MS) sendAnnouncement(announced, now)
    report(now)
  }

  function runCandidate (now: number): void {
    try {
      node.step({ now, hasLeader: opts.hasLeader(), random: opts.random() })
    } catch (err) {
      // The vote of this seed could not be stored, such as on a full disk; it is tried again.
      recordFailure(opts.name, String(err))
    }
    const decision = node.decision(now)
    if (decision.kind === 'undecided') {
      for (const seed of others) ask(seed, now)
      return
    }
    isDecided = true
    clearInterval(timer)
    timer = setInterval(tick, IDLE_INTERVAL_MS)
    const afterMs = Math.round(now - startedAt)
    const { chosen, takingPart, notTakingPart } = node.status(now)
    if (chosen === null) log('clusterFound', { afterMs })
    else log('initialVotersChosen', { voters: chosen.join(), heard: [...takingPart, ...notTakingPart].join(), afterMs })
    resolveDecided(decision)
  }

  /** Sends the present request to a seed, unless one is still pending. */
  function ask (seed: string, now: number): void {
    if (pending.has(seed) || now - (askedAt.get(seed) ?? -Infinity) < ASK_INTERVAL_MS) return
    askedAt.set(seed, now)
    pending.add(seed)
    clients.get(addressOf(seed)).request(FOUNDING_METHOD, node.request(), { timeoutMs: RESPONSE_TIMEOUT_MS })
      .then((raw) => {
        node.receive(seed, checkFoundingResponse(raw))
        failures.delete(seed)
      })
      .catch((err) => recordFailure(seed, String(err)))
      .finally(() => pending.delete(seed))
      .catch(() => {})
  }

  function recordFailure (seed: string, reason: string): void {
    if (failures.get(seed) === reason) return
    failures.set(seed, reason)
    log('foundingRequestFailed', { seed, reason })
  }

  function sendAnnouncement (voters: readonly string[], now: number): void {
    announcedAt = now
    for (const name of new Set([...voters, ...seeds])) {
      if (name === opts.name) continue
      clients.get(addressOf(name)).request(FOUNDING_METHOD, { candidate: null, chosen: voters }, { timeoutMs: RESPONSE_TIMEOUT_MS })
        .then(() => failures.delete(name), (err) => recordFailure(name, String(err)))
    }
  }

  function reasonNow (): FoundingReason | null {
    const { takesPart, takingPart, notTakingPart, candidates } = node.status(holderMs())
    if (isFounded || opts.hasLeader()) return null
    if (isCandidate) return reasonOfCandidate({ seeds: seeds.length, takingPart: takingPart.length, notTakingPart: notTakingPart.length })
    if (hasDisk || !takesPart) return 'awaitingCluster'
    return candidates.length === 0 ? 'noCandidate' : 'awaitingCandidates'
  }

  function report (now: number): void {
    if (now - reportedAt < REPORT_INTERVAL_MS) return
    reportedAt = now
    const reason = reasonNow()
    if (reason === null || reason === 'awaitingCluster') return
    const { takesPart, takingPart, notTakingPart, candidates } = node.status(now)
    log('clusterNotFounded', {
      reason,
      seeds: seeds.join(),
      takesPart,
      takingPart: takingPart.join(),
      notTakingPart: notTakingPart.join(),
      failed: [...failures.keys()].join(),
      candidates: candidates.join(),
      waitedMs: Math.round(now - startedAt),
    })
  }

  return {
    respond: (raw) => node.respond(checkFoundingRequest(raw), holderMs()),
    decided,
    announce (voters) {
      announced = voters
    },
    status: () => ({ ...node.status(holderMs()), seeds, reason: reasonNow() }),
    async close () {
      clearInterval(timer)
      clients.close()
    },
  }
}

/** Returns why a candidate has not decided: too few seeds can still agree, too few have responded, or they do not agree yet. */
function reasonOfCandidate (counts: Readonly<Record<'seeds' | 'takingPart' | 'notTakingPart', number>>): FoundingReason {
  const majority = Math.floor(counts.seeds / 2) + 1
  if (counts.seeds - counts.notTakingPart < majority) return 'seedsForgot'
  return counts.takingPart < majority ? 'seedsUnreachable' : 'noAgreementYet'
}
