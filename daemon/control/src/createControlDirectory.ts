import { type Address, formatAddress, isSameAddress } from '@briarpick/types'
import { holderMs } from '@briarpick/clock'
import { findLeader, type LeaderResponse } from '@briarpick/control-finder'
import { type Service } from '@briarpick/kernel'
import { createLogger } from '@briarpick/logs'
import { type Metrics } from '@briarpick/metrics'
import { createRpcClients } from '@briarpick/rpc'
import { checkLeaderResponse } from './requestSchemas.js'

/** Options of a control directory. */
export interface ControlDirectoryOptions {
  /** Address of this daemon, which is never queried. */
  readonly self: Address
  /** Seed nodes of the settings; called each time, since settings may change. */
  readonly seeds: () => readonly Address[]
  /** Addresses of the members in this daemon's log, empty if it has none; some may no longer be members. */
  readonly members: () => readonly Address[]
  /** The notice of this daemon as a member that follows a leader or leads; undefined if it is none or knows no leader. */
  readonly ownNotice: () => LeaderResponse | undefined
  /** True if this daemon votes in the cluster of its log: it then hears of a new leader by itself, unless it was removed meanwhile. */
  readonly isVoter: () => boolean
  readonly metrics: Metrics
  /** Current time, in ms; the holder's clock if absent. */
  readonly now?: () => number
}

/**
 * What a control daemon knows of the leader and the members. A member reads it from its own state. Any other daemon, such as one
 * without a disk, has it from a member's notice, which it hears in three ways: members send it to their seeds that are no
 * members, the leader is queried once it is older than `REFRESH_AFTER_MS`, and without a leader all contacts are searched. It passes a
 * notice on until it is older than `MAX_NOTICE_AGE_MS`, counted from the member that made it.
 */
export interface ControlDirectory extends Service {
  /** The response to a leader request. */
  current: () => LeaderResponse
  /** Records a notice that another daemon has sent. */
  learn: (notice: LeaderResponse) => void
  /** The nodes among which this daemon searches: seeds, members of its log, and those that the latest notice names. */
  contacts: () => readonly Address[]
  /** Returns the leader, after a search if it is unknown or is the one that has failed; null if none is found. */
  findLeader: (failed: Address | undefined) => Promise<Address | null>
}

/** Age from which a notice is neither passed on nor used, in ms. */
export const MAX_NOTICE_AGE_MS = 3000
/** Age from which a daemon queries the leader again, in ms. */
const REFRESH_AFTER_MS = 1000
/** Interval at which a member sends its notice, unless it changes, in ms; one may be lost before a daemon has to query. */
const NOTICE_INTERVAL_MS = 500
/** Time without a leader after which a voter searches for one, in ms; covers most elections. */
const VOTER_SEARCH_DELAY_MS = 2000
const CHECK_INTERVAL_MS = 100
const SEARCH_TIMEOUT_MS = 300
const REQUEST_TIMEOUT_MS = 500
/** RPC method by which a member tells another daemon who leads. */
export const LEADER_NOTICE_METHOD = 'control.leaderNotice'
const NO_LEADER: LeaderResponse = { leader: null, controls: [] }
const log = createLogger('control:directory')

/** A notice and when a member made it, in ms on the elapsed clock. */
interface KnownNotice {
  readonly notice: LeaderResponse
  readonly madeAt: number
}

/** Creates a directory that initially knows only its seeds and members. */
export function createControlDirectory (opts: ControlDirectoryOptions): ControlDirectory {
  const now = opts.now ?? holderMs
  const clients = createRpcClients({ connectTimeoutMs: SEARCH_TIMEOUT_MS })
  let known: KnownNotice | undefined
  let hasExpired = false
  let refreshing = false
  let ownNoticeAt = now()
  let sentAt = -Infinity
  let sentKey = ''
  const unreachableSeeds = new Set<string>()
  const timer = setInterval(check, CHECK_INTERVAL_MS)
  opts.metrics.gauge('leader_known', () => Number(current().leader !== null))

  function isUsable ({ madeAt }: KnownNotice): boolean {
    return now() - madeAt < MAX_NOTICE_AGE_MS
  }

  function current (): LeaderResponse {
    const own = opts.ownNotice()
    if (own !== undefined) return own
    return known !== undefined && isUsable(known) ? { ...known.notice, ageMs: now() - known.madeAt } : NO_LEADER
  }

  function learn (notice: LeaderResponse): void {
    const next = { notice, madeAt: now() - (notice.ageMs ?? 0) }
    if (notice.leader === null || !isUsable(next) || (known !== undefined && isUsable(known) && !supersedes(next, known))) return
    const isOther = keyOf(notice) !== keyOf(known?.notice ?? NO_LEADER)
    known = next
    if (!isOther && !hasExpired) return
    hasExpired = false
    log('leaderLearned', { leader: formatAddress(notice.leader), term: notice.term, controls: notice.controls.length, ageMs: Math.round(notice.ageMs ?? 0) })
  }

  function contacts (): readonly Address[] {
    const { leader = null, controls = [] } = known?.notice ?? {}
    const all = [...opts.seeds(), ...opts.members(), ...controls, ...leader === null ? [] : [leader]]
    const unique = new Map(all.map((address) => [formatAddress(address), address]))
    unique.delete(formatAddress(opts.self))
    return [...unique.values()]
  }

  async function search (failed: Address | undefined): Promise<Address | null> {
    const found = readResponse(await findLeader({ nodes: contacts(), failed, timeoutMs: SEARCH_TIMEOUT_MS }) ?? NO_LEADER)
    learn(found)
    return found.leader
  }

  /** Queries the known leader, and searches for the leader if that one no longer names one. */
  async function refresh (): Promise<void> {
    const leader = known?.notice.leader ?? null
    const response = leader === null
      ? NO_LEADER
      : await clients.get(leader).request('control.leader', {}, { timeoutMs: REQUEST_TIMEOUT_MS }).then(readResponse, () => NO_LEADER)
    if (response.leader === null) await search(undefined)
    else learn(response)
  }

  /** Sends this member's notice to the seeds that are no members: they have no other way to learn of it after a restart. */
  function sendNotice (notice: LeaderResponse): void {
    const key = keyOf(notice)
    if (key === sentKey && now() - sentAt < NOTICE_INTERVAL_MS) return
    sentKey = key
    sentAt = now()
    for (const seed of opts.seeds()) {
      if ([opts.self, ...notice.controls].some((address) => isSameAddress(address, seed))) continue
      clients.get(seed).request(LEADER_NOTICE_METHOD, notice, { timeoutMs: REQUEST_TIMEOUT_MS })
        .then(() => unreachableSeeds.delete(formatAddress(seed)), (err) => reportUnreachable(formatAddress(seed), err))
    }
  }

  function reportUnreachable (seed: string, err: unknown): void {
    if (unreachableSeeds.has(seed)) return
    unreachableSeeds.add(seed)
    log('seedUnreachable', { seed, reason: String(err) })
  }

  function reportExpiry (): void {
    if (known === undefined || hasExpired || isUsable(known)) return
    hasExpired = true
    log('leaderForgotten', { leader: keyOf(known.notice), ageMs: Math.round(now() - known.madeAt), contacts: contacts().length })
  }

  function check (): void {
    const own = opts.ownNotice()
    if (own !== undefined) {
      ownNoticeAt = now()
      sendNotice(own)
      return
    }
    if (opts.isVoter() && now() - ownNoticeAt < VOTER_SEARCH_DELAY_MS) return
    if (refreshing || (known !== undefined && now() - known.madeAt < REFRESH_AFTER_MS)) return
    reportExpiry()
    refreshing = true
    refresh()
      .catch((err) => log('searchFailed', { reason: String(err) }))
      .finally(() => { refreshing = false })
      .catch(() => {})
  }

  return {
    current,
    learn,
    contacts,
    async findLeader (failed) {
      const { leader } = current()
      if (leader !== null && !isSameAddress(leader, failed)) return leader
      return await search(failed)
    },
    async close () {
      clearInterval(timer)
      clients.close()
    },
  }
}

/** Validates an answer; one in another form, as of a process at a reused address, names no leader. */
function readResponse (raw: unknown): LeaderResponse {
  try {
    return checkLeaderResponse(raw)
  } catch (err) {
    log('answerIgnored', { reason: String(err) })
    return NO_LEADER
  }
}

/** True if a notice is of a later term than the known one, or of the same term or one without a term and more recent. */
function supersedes (next: KnownNotice, known: KnownNotice): boolean {
  const { term: nextTerm } = next.notice
  const { term: knownTerm } = known.notice
  if (nextTerm === undefined || knownTerm === undefined || nextTerm === knownTerm) return next.madeAt > known.madeAt
  return nextTerm > knownTerm
}

/** Identifies what a notice says, apart from its age. */
function keyOf ({ leader, controls, term }: LeaderResponse): string {
  return [leader, ...controls].map((address) => address === null ? '-' : formatAddress(address)).join() + `@${term ?? '-'}`
}
