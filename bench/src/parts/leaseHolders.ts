import { type Address, type Announcement, type DatabaseView, type HomeReport, type RenewRequest, type RenewResult } from '@briarpick/types'
import { createDirectory, type Directory, differsFromView } from '@briarpick/membership'
import { createRpcClient } from '@briarpick/rpc'

/** What a process of lease holders does: real renewals over real sockets, with reports about targets that need not exist. */
export interface LeaseHoldersOptions {
  readonly control: readonly Address[]
  readonly holders: number
  readonly databases: number
  readonly dataCentres: number
}

/** What the holders saw so far. */
export interface LeaseHoldersReport {
  readonly renewals: number
  readonly failures: number
  readonly bytesOut: number
  readonly bytesIn: number
  /** Lowest bundle version of all holders, and when the last of them had it. */
  readonly lowestVersion: number
  readonly lowestSince: number
  /** Databases that are open with an in-sync replica, as the first holder knows them. */
  readonly open: number
}

const RENEW_MS = 500
const TIMEOUT_MS = 2000
const REPORT_MS = 200
const TARGETS = 3
const SERVICE = 'rent-ledger'
const UNUSED_ADDRESS: Address = { host: '127.0.0.1', port: 9 }

const opts = JSON.parse(process.argv[2] ?? '{}') as LeaseHoldersOptions
const counts = { renewals: 0, failures: 0, bytesOut: 0, bytesIn: 0 }
const versions: number[] = Array.from({ length: opts.holders }, () => 0)
let lowestVersion = 0
let lowestSince = Date.now()

function announcementsOf (holder: number): readonly Announcement[] {
  const announcements: Announcement[] = []
  for (let database = holder; database < opts.databases; database += opts.holders) {
    for (let target = 0; target < TARGETS; target++) announcements.push(announcementOf(database, target))
  }
  return announcements
}

function announcementOf (database: number, target: number): Announcement {
  return {
    service: SERVICE,
    database: `ledger-${database}`,
    instance: `ledger-${database}-${target}`,
    dataCentre: `dc-${(database + target) % opts.dataCentres}`,
    address: { host: '127.0.0.1', port: 10 + target },
    role: target === 0 ? 'primary' : 'replica',
    term: 1,
    position: { term: 1, offset: 0 },
    state: 'serving',
  }
}

function reportOf (view: DatabaseView): HomeReport {
  const isReady = view.state === 'open' && view.members.length === TARGETS
  return {
    database: view.database,
    epoch: view.homeEpoch,
    term: view.term,
    targets: isReady && view.inSync.length > 0
      ? []
      : view.members.map(({ instance }) => ({
        instance, reachability: 'ok', silentMs: 20, role: instance.endsWith('-0') ? 'primary' : 'replica', term: 1, position: { term: 1, offset: 123_456 },
      })),
    committed: { term: 1, offset: 123_456 },
    promoted: null,
    wantInSync: isReady && view.inSync.length === 0 ? [view.members.map(({ instance }) => instance).filter((instance) => !instance.endsWith('-0')).sort()[0]] : null,
    released: false,
  }
}

function noteVersion (holder: number, version: number): void {
  versions[holder] = version
  const lowest = Math.min(...versions)
  if (lowest === lowestVersion) return
  lowestVersion = lowest
  lowestSince = Date.now()
}

function startHolder (holder: number): Directory {
  const proxy = `proxy-${holder}#bench`
  const directory = createDirectory()
  const own = announcementsOf(holder)
  const clients = opts.control.map((address) => createRpcClient({ address, handlers: { 'proxy.poke': () => schedule(0) } }))
  let current = 0
  let timer: NodeJS.Timeout | undefined
  let renewing = false
  let again = false

  function request (): RenewRequest {
    return {
      proxy,
      incarnation: 'bench',
      dataCentre: `dc-${holder % opts.dataCentres}`,
      linkAddress: UNUSED_ADDRESS,
      rpcAddress: UNUSED_ADDRESS,
      seen: directory.seen(),
      bundleVersion: versions[holder],
      leaving: false,
      homes: [...directory.views()].filter(({ home }) => home?.proxy === proxy).map(reportOf),
      announcements: own.filter((announcement) => differsFromView(announcement, directory.view(announcement.database))),
      witnessed: [],
    }
  }

  async function renew (): Promise<void> {
    if (renewing) {
      again = true
      return
    }
    renewing = true
    again = false
    const sent = request()
    try {
      const result = await clients[current].request<RenewResult>('control.renew', sent, { timeoutMs: TIMEOUT_MS })
      counts.renewals += 1
      counts.bytesOut += Buffer.byteLength(JSON.stringify(sent))
      counts.bytesIn += Buffer.byteLength(JSON.stringify(result))
      if (result.kind === 'notLeader') current = (current + 1) % clients.length
      else {
        if (result.bundle !== null) noteVersion(holder, result.bundle.version)
        directory.update(result.views, result.index)
        if (result.more) again = true
      }
    } catch {
      counts.failures += 1
      current = (current + 1) % clients.length
    }
    renewing = false
    schedule(again ? 0 : RENEW_MS)
  }

  function schedule (ms: number): void {
    clearTimeout(timer)
    timer = setTimeout(() => { renew().catch(() => {}) }, ms)
  }

  schedule(RENEW_MS * holder / opts.holders)
  return directory
}

const directories = Array.from({ length: opts.holders }, (_, holder) => startHolder(holder))
setInterval(() => {
  const open = [...directories[0].views()].filter((view) => view.state === 'open' && view.inSync.length > 0).length
  const report: LeaseHoldersReport = { ...counts, lowestVersion, lowestSince, open }
  process.stdout.write(JSON.stringify(report) + '\n')
}, REPORT_MS)
