import { type HomeReport, type RenewRequest, type WitnessRequest } from '@briarpick/types'
import { isLaterProcess, type LiveProxy, type WitnessFinding } from '@briarpick/failover'
import { type Peer } from '@briarpick/rpc'

/** What the leader holds about one proxy; lost with the leader, and made anew by renewals. */
export interface ProxyLease {
  readonly proxy: string
  readonly until: number
  readonly request: RenewRequest
  readonly peer: Peer
}

/** The leases that a leader granted, and what came with the renewals. */
export interface Leases {
  grant: (request: RenewRequest, peer: Peer, now: number, leaseMs: number) => void
  live: (now: number) => readonly LiveProxy[]
  /** A proxy whose lease holds; undefined if there is none of that name. */
  liveProxy: (proxy: string | undefined, now: number) => LiveProxy | undefined
  all: () => Iterable<ProxyLease>
  peerOf: (proxy: string) => Peer | undefined
  /** The report of a database's home under an epoch. */
  report: (database: string, proxy: string | undefined, epoch: number) => HomeReport | undefined
  findings: (database: string) => readonly WitnessFinding[]
  ask: (proxy: string, request: WitnessRequest) => void
  takeRequests: (proxy: string) => readonly WitnessRequest[]
  askRelease: (proxy: string, database: string) => void
  takeReleases: (proxy: string) => readonly string[]
  clear: () => void
}

/** Part of the lease that the leader adds for clocks that run at different rates. */
export const DRIFT_RATIO = 0.05
/** Expired leases are shown in status for this long, in ms. */
const KEEP_EXPIRED_MS = 60_000
const MAX_FINDINGS = 16

/** Creates an empty table. */
export function createLeases (): Leases {
  const leases = new Map<string, ProxyLease>()
  const reports = new Map<string, { readonly proxy: string, readonly report: HomeReport }>()
  const findings = new Map<string, WitnessFinding[]>()
  const requests = new Map<string, WitnessRequest[]>()
  const releases = new Map<string, Set<string>>()

  function takeFrom<T> (lists: Map<string, T>, proxy: string): T | undefined {
    const list = lists.get(proxy)
    lists.delete(proxy)
    return list
  }

  /** A process that started again on the same addresses shows that the one before has ended. */
  function dropEarlierIncarnations ({ proxy, linkAddress }: RenewRequest): void {
    if (leases.has(proxy)) return
    for (const [other, { request }] of leases) {
      if (isLaterProcess(proxy, linkAddress, other, request.linkAddress)) leases.delete(other)
    }
  }

  return {
    grant (request, peer, now, leaseMs) {
      dropEarlierIncarnations(request)
      leases.set(request.proxy, { proxy: request.proxy, until: now + leaseMs * (1 + DRIFT_RATIO), request, peer })
      for (const report of request.homes) reports.set(report.database, { proxy: request.proxy, report })
      for (const report of request.witnessed) {
        const known = findings.get(report.database) ?? []
        findings.set(report.database, [...known, { ...report, proxy: request.proxy, at: now }].slice(-MAX_FINDINGS))
      }
    },
    live (now) {
      const live: LiveProxy[] = []
      for (const [proxy, lease] of leases) {
        if (now - lease.until > KEEP_EXPIRED_MS) leases.delete(proxy)
        if (now < lease.until) live.push(toLiveProxy(lease))
      }
      return live
    },
    all: () => leases.values(),
    peerOf: (proxy) => leases.get(proxy)?.peer,
    liveProxy (proxy, now) {
      const lease = proxy === undefined ? undefined : leases.get(proxy)
      return lease !== undefined && now < lease.until ? toLiveProxy(lease) : undefined
    },
    report (database, proxy, epoch) {
      const known = reports.get(database)
      return known !== undefined && known.proxy === proxy && known.report.epoch === epoch ? known.report : undefined
    },
    findings: (database) => findings.get(database) ?? [],
    ask (proxy, request) {
      requests.set(proxy, [...requests.get(proxy) ?? [], request])
    },
    takeRequests: (proxy) => takeFrom(requests, proxy) ?? [],
    askRelease (proxy, database) {
      releases.set(proxy, (releases.get(proxy) ?? new Set()).add(database))
    },
    takeReleases: (proxy) => [...takeFrom(releases, proxy) ?? []],
    clear () {
      leases.clear()
      reports.clear()
      findings.clear()
      requests.clear()
      releases.clear()
    },
  }
}

function toLiveProxy ({ proxy, request }: ProxyLease): LiveProxy {
  const { dataCentre, linkAddress, leaving, homeFitness = 1 } = request
  return { proxy, dataCentre, linkAddress, leaving, homeFitness }
}
