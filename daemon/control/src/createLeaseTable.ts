import { type HomeReport, type RenewRequest, type WitnessRequest } from '@briarpick/types'
import { type GranterTime } from '@briarpick/clock'
import { isLaterProcess, type LiveProxy, type WitnessFinding } from '@briarpick/failover'
import { type Peer } from '@briarpick/rpc'

/** Lease of one proxy. It is kept only in the leader's memory; a new leader rebuilds it from renewals. */
export interface ProxyLease {
  readonly proxy: string
  /** Expiry in ms on the leader's clock for what it granted, with the allowance for clock drift. */
  readonly expiresAt: number
  /** Latest renewal of the proxy. */
  readonly request: RenewRequest
  readonly peer: Peer
  /** Time of the latest renewal that stated an overload, in ms on the leader's clock; -Infinity for none. */
  readonly overloadedAt: number
  /** Time of the first renewal since which the lease has not expired, in ms on the leader's clock. */
  readonly since: number
}

/** Leases granted by a leader, with the reports and findings received in renewals. Times are in ms on the granter's clock of the leader. */
export interface LeaseTable {
  /** Grants or extends a proxy's lease and stores the reports of its renewal. */
  grant: (request: RenewRequest, peer: Peer, now: GranterTime, leaseMs: number) => void
  /** Proxies whose lease is valid. */
  live: (now: GranterTime) => readonly LiveProxy[]
  /** A proxy by name; undefined if it is unknown or its lease has expired. */
  liveProxy: (proxy: string | undefined, now: GranterTime) => LiveProxy | undefined
  /** All leases, including those that expired recently. */
  all: () => Iterable<ProxyLease>
  peerOf: (proxy: string) => Peer | undefined
  /** Latest report about a database; undefined unless it came from the given proxy under the given epoch. */
  report: (database: string, proxy: string | undefined, epoch: number) => HomeReport | undefined
  /** Latest witness findings about a database, oldest first. */
  findings: (database: string) => readonly WitnessFinding[]
  /** Queues a witness request for the proxy's next renewal. */
  queueWitnessRequest: (proxy: string, request: WitnessRequest) => void
  /** Returns and removes the queued witness requests of a proxy. */
  takeWitnessRequests: (proxy: string) => readonly WitnessRequest[]
  /** Queues a request to release a database's home for the proxy's next renewal. */
  queueRelease: (proxy: string, database: string) => void
  /** Returns and removes the databases that a proxy has to release. */
  takeReleases: (proxy: string) => readonly string[]
  clear: () => void
}

/** Fraction of the lease duration that the leader adds to allow for clock drift. */
export const CLOCK_DRIFT_RATIO = 0.05
/** Time for which expired leases still appear in the status, in ms. */
const EXPIRED_LEASE_RETENTION_MS = 60_000
/** Time after an overload for which a proxy gets no home that a comparable one can have, in ms. */
const OVERLOAD_MEMORY_MS = 10_000
const MAX_FINDINGS_PER_DATABASE = 16

/** Creates an empty lease table. */
export function createLeaseTable (): LeaseTable {
  const leases = new Map<string, ProxyLease>()
  const reports = new Map<string, { readonly proxy: string, readonly report: HomeReport }>()
  const findings = new Map<string, WitnessFinding[]>()
  const witnessRequests = new Map<string, WitnessRequest[]>()
  const releases = new Map<string, Set<string>>()

  function takeFrom<T> (lists: Map<string, T>, proxy: string): T | undefined {
    const list = lists.get(proxy)
    lists.delete(proxy)
    return list
  }

  /** Drops the leases of earlier processes at the same address, which have ended if a new process uses it. */
  function dropEarlierIncarnations ({ proxy, linkAddress }: RenewRequest): void {
    if (leases.has(proxy)) return
    for (const [other, { request }] of leases) {
      if (isLaterProcess(proxy, linkAddress, other, request.linkAddress)) leases.delete(other)
    }
  }

  return {
    grant (request, peer, now, leaseMs) {
      dropEarlierIncarnations(request)
      const held = leases.get(request.proxy)
      leases.set(request.proxy, {
        proxy: request.proxy,
        expiresAt: now + leaseMs * (1 + CLOCK_DRIFT_RATIO),
        request,
        peer,
        overloadedAt: request.overloaded === true ? now : held?.overloadedAt ?? -Infinity,
        since: held !== undefined && now < held.expiresAt ? held.since : now,
      })
      for (const report of request.homes) reports.set(report.database, { proxy: request.proxy, report })
      for (const report of request.witnessed) {
        const known = findings.get(report.database) ?? []
        findings.set(report.database, [...known, { ...report, proxy: request.proxy, at: now }].slice(-MAX_FINDINGS_PER_DATABASE))
      }
    },
    live (now) {
      const live: LiveProxy[] = []
      for (const [proxy, lease] of leases) {
        if (now - lease.expiresAt > EXPIRED_LEASE_RETENTION_MS) leases.delete(proxy)
        if (now < lease.expiresAt) live.push(toLiveProxy(lease, now))
      }
      return live
    },
    all: () => leases.values(),
    peerOf: (proxy) => leases.get(proxy)?.peer,
    liveProxy (proxy, now) {
      const lease = proxy === undefined ? undefined : leases.get(proxy)
      return lease !== undefined && now < lease.expiresAt ? toLiveProxy(lease, now) : undefined
    },
    report (database, proxy, epoch) {
      const known = reports.get(database)
      return known !== undefined && known.proxy === proxy && known.report.epoch === epoch ? known.report : undefined
    },
    findings: (database) => findings.get(database) ?? [],
    queueWitnessRequest (proxy, request) {
      witnessRequests.set(proxy, [...witnessRequests.get(proxy) ?? [], request])
    },
    takeWitnessRequests: (proxy) => takeFrom(witnessRequests, proxy) ?? [],
    queueRelease (proxy, database) {
      releases.set(proxy, (releases.get(proxy) ?? new Set()).add(database))
    },
    takeReleases: (proxy) => [...takeFrom(releases, proxy) ?? []],
    clear () {
      leases.clear()
      reports.clear()
      findings.clear()
      witnessRequests.clear()
      releases.clear()
    },
  }
}

function toLiveProxy ({ proxy, request, overloadedAt, since }: ProxyLease, now: GranterTime): LiveProxy {
  const { dataCentre, linkAddress, leaving, homeFitness = 1, overloaded = false } = request
  const recentlyOverloaded = now - overloadedAt < OVERLOAD_MEMORY_MS
  return { proxy, dataCentre, linkAddress, leaving, homeFitness, overloaded, recentlyOverloaded, leasedSince: since }
}
