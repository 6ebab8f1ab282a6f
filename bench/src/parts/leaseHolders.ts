import { type Address, type Announcement, type DatabaseView, type HomeReport, type RenewRequest, type RenewResult } from '@briarpick/types'
import { createDirectory, differsFromView, type Directory } from '@briarpick/membership'
import { createRpcClient } from '@briarpick/rpc'

/** Options of a process that simulates many lease holders. Their renewals go over TCP; the targets that they report don't exist. */
export interface LeaseHoldersOptions {
  readonly control: readonly Address[]
  readonly holders: number
  readonly databases: number
  readonly dataCentres: number
}

/** Counters since the start, and the current state of the lease holders. */
export interface LeaseHoldersReport {
  readonly renewals: number
  readonly failures: number
  /** JSON payload bytes of successful renewals, in each direction. */
  readonly bytesOut: number
  readonly bytesIn: number
  /** Lowest bundle version of all lease holders. */
  readonly lowestVersion: number
  /** Time at which the last lease holder reached that version, in ms since the Unix epoch. */
  readonly lowestSince: number
  /** Open databases with an in-sync replica, in the views of the first lease holder. */
  readonly open: number
}

const RENEW_INTERVAL_MS = 500
const RENEW_TIMEOUT_MS = 2000
const REPORT_INTERVAL_MS = 200
const TARGETS_PER_DATABASE = 3
const SERVICE = 'rent-ledger'
const UNUSED_ADDRESS: Address = { host: '127.0.0.1', port: 9 }

const opts = JSON.parse(process.argv[2] ?? '{}') as LeaseHoldersOptions
const counts = { renewals: 0, failures: 0, bytesOut: 0, bytesIn: 0 }
const versions: number[] = Array.from({ length: opts.holders }, () => 0)
let lowestVersion = 0
let lowestSince = Date.now()

function createAnnouncements (holder: number): readonly Announcement[] {
  const announcements: Announcement[] = []
  for (let database = holder; database < opts.databases; database += opts.holders) {
    for (let target = 0; target < TARGETS_PER_DATABASE; target++) announcements.push(createAnnouncement(database, target))
  }
  return announcements
}

function createAnnouncement (database: number, target: number): Announcement {
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

function createHomeReport (view: DatabaseView): HomeReport {
  const isReady = view.state === 'open' && view.members.length === TARGETS_PER_DATABASE
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

function recordVersion (holder: number, version: number): void {
  versions[holder] = version
  const newLowest = Math.min(...versions)
  if (newLowest === lowestVersion) return
  lowestVersion = newLowest
  lowestSince = Date.now()
}

function startHolder (holder: number): Directory {
  const proxy = `proxy-${holder}#bench`
  const directory = createDirectory()
  const ownAnnouncements = createAnnouncements(holder)
  const clients = opts.control.map((address) => createRpcClient({ address, handlers: { 'proxy.poke': () => scheduleRenewal(0) } }))
  let clientIndex = 0
  let timer: NodeJS.Timeout | undefined
  let renewing = false
  let renewAgain = false

  function createRequest (): RenewRequest {
    return {
      proxy,
      incarnation: 'bench',
      dataCentre: `dc-${holder % opts.dataCentres}`,
      linkAddress: UNUSED_ADDRESS,
      rpcAddress: UNUSED_ADDRESS,
      seen: directory.appliedIndex(),
      bundleVersion: versions[holder],
      leaving: false,
      homes: [...directory.views()].filter(({ home }) => home?.proxy === proxy).map(createHomeReport),
      announcements: ownAnnouncements.filter((announcement) => differsFromView(announcement, directory.view(announcement.database))),
      witnessed: [],
    }
  }

  async function renew (): Promise<void> {
    if (renewing) {
      renewAgain = true
      return
    }
    renewing = true
    renewAgain = false
    const req = createRequest()
    try {
      const res = await clients[clientIndex].request<RenewResult>('control.renew', req, { timeoutMs: RENEW_TIMEOUT_MS })
      counts.renewals += 1
      counts.bytesOut += Buffer.byteLength(JSON.stringify(req))
      counts.bytesIn += Buffer.byteLength(JSON.stringify(res))
      if (res.kind === 'notLeader') clientIndex = (clientIndex + 1) % clients.length
      else {
        if (res.bundle !== null) recordVersion(holder, res.bundle.version)
        directory.update(res.views, res.index)
        if (res.more) renewAgain = true
      }
    } catch {
      counts.failures += 1
      clientIndex = (clientIndex + 1) % clients.length
    }
    renewing = false
    scheduleRenewal(renewAgain ? 0 : RENEW_INTERVAL_MS)
  }

  function scheduleRenewal (delayMs: number): void {
    clearTimeout(timer)
    timer = setTimeout(() => { renew().catch(() => {}) }, delayMs)
  }

  scheduleRenewal(RENEW_INTERVAL_MS * holder / opts.holders)
  return directory
}

const directories = Array.from({ length: opts.holders }, (_, holder) => startHolder(holder))
setInterval(() => {
  const open = [...directories[0].views()].filter((view) => view.state === 'open' && view.inSync.length > 0).length
  const report: LeaseHoldersReport = { ...counts, lowestVersion, lowestSince, open }
  process.stdout.write(JSON.stringify(report) + '\n')
}, REPORT_INTERVAL_MS)
