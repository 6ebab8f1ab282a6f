import http from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { type Address, formatAddress } from '@briarpick/types'
import { type StandInGroup } from './createStandInGroup.js'

/** A promotion request, as the platform received it. */
export interface PromoteRecord {
  readonly service: string
  readonly id: string
  /** Value of the X-Lease-Holder header. */
  readonly holder: string
  /** Value of the X-Fencing-Token header. */
  readonly token: number
}

/** A running stand-in platform: its promotion endpoint, and the heartbeats of its instances. */
export interface StandInPlatform {
  readonly promotions: readonly PromoteRecord[]
  /** Reports an instance as draining, again until the HTTP status is 200 to 499; resolves with the last status, 0 if there was no reply. */
  drain: (group: StandInGroup, id: string) => Promise<number>
  close: () => Promise<void>
}

/** Options of a platform. */
export interface StandInPlatformOptions {
  readonly listen: Address
  readonly groups: readonly StandInGroup[]
  /** Control nodes that receive the heartbeats. */
  readonly controls: readonly Address[]
}

const HEARTBEAT_INTERVAL_MS = 400
const REQUEST_TIMEOUT_MS = 1000
/** Time for which a heartbeat without an answer is repeated, in ms: as long as one round over three unresponsive nodes. */
const HEARTBEAT_RETRY_TIMEOUT_MS = 3 * REQUEST_TIMEOUT_MS
const RETRY_DELAY_MS = 50

/** Starts a stand-in platform. */
export async function createStandInPlatform (opts: StandInPlatformOptions): Promise<StandInPlatform> {
  const promotions: PromoteRecord[] = []
  const draining = new Set<string>()
  let sequence = 0

  async function promote (body: string, headers: http.IncomingHttpHeaders): Promise<number> {
    const { service, id } = JSON.parse(body) as { service: string, id: string }
    promotions.push({ service, id, holder: String(headers['x-lease-holder']), token: Number(headers['x-fencing-token']) })
    const group = opts.groups.find((candidate) => candidate.service === service)
    return await group?.promote(id) === true ? 200 : 409
  }

  const server = http.createServer((req, res) => {
    const parts: Buffer[] = []
    req.on('data', (part: Buffer) => parts.push(part))
    req.on('end', () => {
      promote(Buffer.concat(parts).toString(), req.headers).then((status) => res.writeHead(status).end(), () => res.writeHead(500).end())
    })
  })
  await new Promise<void>((resolve) => server.listen(opts.listen.port, opts.listen.host, resolve))

  function sendHeartbeat (group: StandInGroup, id: string): Promise<number> {
    const instance = group.instances.get(id)
    if (instance === undefined || !instance.isRunning()) return Promise.resolve(0)
    sequence += 1
    return putDocument(opts.controls, `/-/instances/${id}`, JSON.stringify({
      service: group.service,
      address: instance.address,
      zone: 'centro',
      version: 'v1',
      capacity: instance.slots,
      state: draining.has(id) ? 'draining' : 'ready',
      warmup_left_ms: 0,
      db_role: instance.isPrimary() ? 'primary' : 'replica',
      sequence,
      born: instance.bornMs(),
    }))
  }

  function sendHeartbeats (): void {
    for (const group of opts.groups) for (const id of group.instances.keys()) sendHeartbeat(group, id).catch(() => {})
  }
  const timer = setInterval(sendHeartbeats, HEARTBEAT_INTERVAL_MS)
  sendHeartbeats()

  return {
    promotions,
    async drain (group, id) {
      draining.add(id)
      return await retryUntilAnswered(() => sendHeartbeat(group, id), HEARTBEAT_RETRY_TIMEOUT_MS)
    },
    async close () {
      clearInterval(timer)
      server.closeAllConnections()
      await new Promise((resolve) => server.close(resolve))
    },
  }
}

/** Sends a document to the nodes in turn until one replies with status 200 to 499. Returns the last status, 0 if no node replied. */
export async function putDocument (addresses: readonly Address[], path: string, body: string): Promise<number> {
  let status = 0
  for (const address of addresses) {
    const res = await fetch(`http://${formatAddress(address)}${path}`, {
      method: 'PUT', body, headers: { 'content-type': 'application/json' }, signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
    }).catch(() => undefined)
    status = res?.status ?? status
    if (isAnswer(status)) return status
  }
  return status
}

/** Sends an instance's heartbeat to the nodes in turn, again until one replies with status 200 to 499. Resolves with the last status. */
export async function putHeartbeat (addresses: readonly Address[], id: string, heartbeat: string): Promise<number> {
  return await retryUntilAnswered(() => putDocument(addresses, `/-/instances/${id}`, heartbeat), HEARTBEAT_RETRY_TIMEOUT_MS)
}

/** Repeats a call that resolves with an HTTP status until that is 200 to 499 or the time is over. Resolves with the last status. */
export async function retryUntilAnswered (call: () => Promise<number>, timeoutMs: number): Promise<number> {
  const deadline = performance.now() + timeoutMs
  let status = await call()
  while (!isAnswer(status) && performance.now() < deadline) {
    await sleep(RETRY_DELAY_MS)
    status = await call()
  }
  return status
}

/** False for a status after which callers move on to another node, and for 0, no reply. */
function isAnswer (status: number): boolean {
  return status >= 200 && status < 500
}
