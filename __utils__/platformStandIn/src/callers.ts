import { setTimeout as sleep } from 'node:timers/promises'
import { type Address } from '@briarpick/types'
import { type StandInGroup } from './createStandInGroup.js'
import { createWireClient, newStatementId, type WireClient, type WireReply } from './createWireClient.js'

/** What a caller was told of its write. */
export interface WriteRecord {
  readonly item: string
  readonly data: string
  readonly outcome: 'done' | 'refused' | 'unknown'
  /** When the answer came, in ms. */
  readonly answeredAtMs: number
  readonly latencyMs: number
}

/** A caller that goes on until it is told to stop. */
export interface RunningCaller<T> {
  stop: () => Promise<readonly T[]>
}

/** A place where callers connect. */
export interface CallerEndpoint {
  readonly callers: Address
}

/** Errors after which nothing of the statement is kept. */
const NOT_APPLIED_CODES: ReadonlySet<string> = new Set(['BUSY', 'ABORTED', 'LAGGING', 'READONLY', 'MISROUTED', 'CONNLIMIT'])
const RECONNECT_DELAY_MS = 20
/** Pauses of a caller after a success and after anything else, in ms. */
const PAUSE_AFTER_SUCCESS_MS = 2
const PAUSE_AFTER_FAILURE_MS = 30
const RETRY_DELAY_MS = 50

/** Runs a statement on a fresh connection until it succeeds; what callers do with a refusal. */
export async function queryUntilSuccess (
  places: readonly CallerEndpoint[],
  callerName: string,
  text: string,
  timeoutMs = 10_000
): Promise<WireReply> {
  const until = performance.now() + timeoutMs
  let last: unknown
  for (let i = 0; performance.now() < until; i += 1) {
    const client = await createWireClient(places[i % places.length].callers, callerName).catch((err) => { last = err })
    const reply = await client?.query(text).catch((err) => { last = err })
    client?.close()
    if (reply?.error === null) return reply
    last = reply?.error ?? last
    await sleep(RETRY_DELAY_MS)
  }
  throw new Error(`no success for ${text}: ${String(last)}`)
}

/** One call; true if it was served. Rejects if the connection ended. */
type Call = (client: WireClient, i: number) => Promise<boolean>

/** Calls with a connection, a new one after each loss, until it is told to stop. */
function startCallLoop (place: CallerEndpoint, callerName: string, call: Call): () => Promise<void> {
  let running = true
  async function loop (): Promise<void> {
    let client: WireClient | undefined
    for (let i = 0; running; i += 1) {
      client ??= await createWireClient(place.callers, callerName).catch(() => undefined)
      if (client === undefined) {
        await sleep(RECONNECT_DELAY_MS)
        continue
      }
      const succeeded = await call(client, i).catch(() => {
        client = undefined
        return false
      })
      await sleep(succeeded ? PAUSE_AFTER_SUCCESS_MS : PAUSE_AFTER_FAILURE_MS)
    }
    client?.close()
  }
  const loopEnded = loop()
  return async () => {
    running = false
    await loopEnded
  }
}

/** Writes distinct items one after the other, and notes what the caller was told of each. */
export function startWriter (place: CallerEndpoint, name: string, service = 'ledger'): RunningCaller<WriteRecord> {
  const written: WriteRecord[] = []
  const stop = startCallLoop(place, `primary-${service}`, async (client, i) => {
    const item = `${name}.${i}`
    const data = newStatementId()
    const sentAt = performance.now()
    const reply = await client.query(`WRITE ${item} ${data}`).catch(() => undefined)
    const at = performance.now()
    written.push({ item, data, outcome: outcomeOf(reply), answeredAtMs: at, latencyMs: at - sentAt })
    if (reply === undefined) throw new Error('closed')
    return reply.error === null
  })
  return {
    async stop () {
      await stop()
      return written
    },
  }
}

function outcomeOf (reply: WireReply | undefined): WriteRecord['outcome'] {
  if (reply === undefined) return 'unknown'
  if (reply.error === null) return 'done'
  return NOT_APPLIED_CODES.has(reply.error) ? 'refused' : 'unknown'
}

/** Writes an item of its own and reads it in the same session; notes for each read whether it showed the write. */
export function startReadYourWritesClient (place: CallerEndpoint, name: string, service = 'ledger'): RunningCaller<boolean> {
  const reads: boolean[] = []
  const stop = startCallLoop(place, `read_your_writes-${service}`, async (client) => {
    const data = newStatementId()
    if ((await client.query(`WRITE ${name} ${data}`)).error !== null) return false
    const { error, rows } = await client.query(`READ ${name}`)
    if (error === null) reads.push(rows[0] === data)
    return error === null
  })
  return {
    async stop () {
      await stop()
      return reads
    },
  }
}

/** Promises that a group's log shows as broken: every acknowledged write is in it once, and none that was refused. */
export function findWriteViolations (group: StandInGroup, written: readonly WriteRecord[]): readonly string[] {
  const copies = new Map<string, number>()
  for (const { writes } of group.primary()?.received() ?? []) for (const [item] of writes) copies.set(item, (copies.get(item) ?? 0) + 1)
  return written.flatMap(({ item, outcome }) => {
    const count = copies.get(item) ?? 0
    if (count > 1) return [`${item} was written ${count} times`]
    if (outcome === 'done' && count === 0) return [`${item} was acknowledged and is lost`]
    return outcome === 'refused' && count > 0 ? [`${item} was refused and ran`] : []
  })
}
