import { randomUUID } from 'node:crypto'
import { type Address, formatAddress } from '@briarpick/types'
import { createKernel, type Service } from '@briarpick/kernel'
import { createLogger } from '@briarpick/logs'
import { createLinkServer } from '@briarpick/link'
import { checkAnnouncement, createAnnouncements, createDirectory } from '@briarpick/membership'
import { createMetrics, type MetricsSnapshot } from '@briarpick/metrics'
import { connectTarget } from '@briarpick/pg-target'
import { type BackendKey } from '@briarpick/pg-caller'
import { createRpcServer, type RpcHandlers } from '@briarpick/rpc'
import { type ProxySettings } from '@briarpick/settings'
import { createActiveBundle } from './createActiveBundle.js'
import { createCancelForwarder } from './createCancelForwarder.js'
import { createHomes, type Homes } from './createHomes.js'
import { createLeaseRenewer, type LeaseRenewer } from '@briarpick/daemon-lease'
import { createMetricsPage } from '@briarpick/metrics-page'
import { createReachabilityProber } from './createReachabilityProber.js'
import { hashProxy } from './entry/callerKey.js'
import { createEntry, type Entry } from './entry/createEntry.js'
import { createHomeFinder } from './entry/createHomeFinder.js'

/** A running proxy daemon. */
export interface ProxyDaemon extends Service {
  /** Address at which callers connect. */
  readonly callersAddress: Address
  readonly rpcAddress: Address
  /** Planned stop: releases homes and disconnects callers without interrupting requests that end within the drain timeout. */
  drain: () => Promise<void>
}

/** Result of the RPC method `proxy.status`. */
export interface ProxyReport {
  /** Name and incarnation, `name#incarnation`. */
  readonly proxy: string
  readonly leaseValid: boolean
  readonly bundleVersion: number
  /** Highest index of the control log whose views were applied. */
  readonly seen: number
  /** Databases whose home this proxy is. */
  readonly homes: readonly string[]
  /** Number of connected callers. */
  readonly callers: number
  readonly metrics: MetricsSnapshot
}

/** Options of `startProxy`. */
export interface StartProxyOptions {
  /** Called after a drain requested by the RPC method `proxy.drain`. */
  readonly onDrained: () => void
}

const CONNECT_TIMEOUT_MS = 500
const ANNOUNCEMENT_LIFETIME_MS = 5000
const MAX_ANNOUNCED_TARGETS = 10_000
/** Longest wait of a request or a drain for a lease renewal, in ms. */
const RENEWAL_TIMEOUT_MS = 500
/** Time within which all proxies learn of a moved home, in ms: several renewal intervals. */
const VIEW_PROPAGATION_MS = 1000
const log = createLogger('proxy')

/** Starts a proxy daemon from validated settings. Resolves once it has a lease and accepts callers. */
export async function startProxy (settings: ProxySettings, opts: StartProxyOptions): Promise<ProxyDaemon> {
  const kernel = createKernel()
  const incarnation = randomUUID()
  const proxy = `${settings.name}#${incarnation.slice(0, 8)}`
  const metrics = createMetrics()
  const directory = createDirectory()
  const bundle = createActiveBundle({ signers: settings.signers, metrics })
  const announcements = createAnnouncements({ lifetimeMs: ANNOUNCEMENT_LIFETIME_MS, maxTargets: MAX_ANNOUNCED_TARGETS })
  let leaving = false
  const lease = () => kernel.find<LeaseRenewer>('lease')
  const renewNow = () => lease()?.renewNow()
  const isLeaseValid = () => lease()?.isValid() === true

  /** Resolves after a renewal, which delivers the changed views, or after RENEWAL_TIMEOUT_MS if control does not answer. */
  async function refreshViews (): Promise<void> {
    await Promise.race([lease()?.waitForRenewal(), new Promise((resolve) => setTimeout(resolve, RENEWAL_TIMEOUT_MS))])
  }

  const connect = (database: string, address: Address) => connectTarget({
    address, database, ...settings.targets, timeoutMs: CONNECT_TIMEOUT_MS,
  })
  const reachabilityProber = createReachabilityProber({ connect, onReportChange: renewNow })
  const homes = await kernel.start<Homes>('homes', () => createHomes({
    proxy,
    dataCentre: settings.data_centre,
    directory,
    settings: bundle.settings,
    isLeaseValid,
    connect,
    onReportChange: renewNow,
    metrics,
  }))
  const link = await kernel.start('link', async () => await createLinkServer({ listen: settings.link.listen, homeOf: homes.get }))
  const forwardCancel = createCancelForwarder({ control: settings.control })
  const homeFinder = createHomeFinder({ proxy, directory, homes })
  const entry = await kernel.start<Entry>('entry', () => createEntry({
    settings: settings.callers,
    homeFinder,
    directory,
    bundle: bundle.settings,
    metrics,
    forwardCancel,
    refreshViews,
    proxyHash: hashProxy(proxy),
  }))

  function report (): ProxyReport {
    return {
      proxy,
      leaseValid: isLeaseValid(),
      bundleVersion: bundle.version(),
      seen: directory.appliedIndex(),
      homes: homes.databases(),
      callers: entry.callers(),
      metrics: metrics.snapshot(),
    }
  }

  let draining: Promise<void> | undefined
  function drain (): Promise<void> {
    draining ??= drainOnce()
    return draining
  }

  async function drainOnce (): Promise<void> {
    log('drainStarted', { proxy })
    leaving = true
    await refreshViews()
    await Promise.all([entry.drain(settings.drain_timeout), homes.releaseAll(settings.drain_timeout)])
    await refreshViews()
    // Other proxies learn of moved homes at their next renewal. Until then this proxy has to stay up and answer their requests.
    await new Promise((resolve) => setTimeout(resolve, VIEW_PROPAGATION_MS))
  }

  const handlers: RpcHandlers = {
    'targets.announce' (raw: unknown) {
      const announcement = checkAnnouncement(raw)
      if (announcement.isErr) throw announcement.error
      announcements.record(announcement.value, performance.now())
      if (announcements.pending(directory.view, performance.now()).length > 0) renewNow()
      return { heard: true }
    },
    'proxy.status': report,
    'proxy.drain' () {
      drain().then(opts.onDrained, opts.onDrained)
      return { draining: true }
    },
    'caller.cancel': (key: BackendKey) => ({ cancelled: entry.cancel(key) }),
    'metrics.read': () => metrics.snapshot(),
    'metrics.page': async () => await metrics.page(),
  }
  const rpc = await kernel.start('rpc', async () => await createRpcServer({ listen: settings.rpc.listen, handlers }))
  if (settings.metrics !== undefined) {
    const { listen } = settings.metrics
    await kernel.start('metricsPage', async () => await createMetricsPage({ listen, metrics }))
  }

  await kernel.start<LeaseRenewer>('lease', () => createLeaseRenewer({
    control: () => settings.control,
    metrics,
    request: () => ({
      proxy,
      incarnation,
      dataCentre: settings.data_centre,
      linkAddress: settings.link.advertise ?? link.address,
      rpcAddress: settings.rpc.advertise ?? rpc.address,
      seen: directory.appliedIndex(),
      bundleVersion: bundle.version(),
      leaving,
      homes: homes.reports(),
      announcements: announcements.pending(directory.view, performance.now()),
      witnessed: reachabilityProber.takeReports(),
    }),
    onGranted (grant) {
      if (grant.bundle !== null) bundle.apply(grant.bundle)
      directory.update(grant.views, grant.index)
      for (const request of grant.witness) reachabilityProber.probe(request)
      for (const database of grant.release) homes.release(database, settings.drain_timeout).catch(() => {})
    },
  }))
  metrics.gauge('callers', () => entry.callers())
  metrics.gauge('lease_valid', () => Number(isLeaseValid()))
  metrics.gauge('bundle_version', () => bundle.version())
  log('waitingForLease', { proxy })
  await lease()?.waitForRenewal()
  const callersAddress = await entry.listen()
  log('started', { proxy, callers: formatAddress(callersAddress) })

  return {
    callersAddress,
    rpcAddress: rpc.address,
    drain,
    async close () {
      homeFinder.close()
      await kernel.close()
    },
  }
}
