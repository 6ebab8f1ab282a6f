import { setTimeout as sleep } from 'node:timers/promises'
import { type Address } from '@briarpick/types'
import { type StandInGroup } from './createStandInGroup.js'
import { createWireClient, newStatementId, type WireClient, type WireReply } from './createWireClient.js'

/** A write and the outcome that the caller saw. */
export interface WriteRecord {
  readonly item: string
  readonly data: string
  /** Committed; rejected without effect; or unknown. */
  readonly outcome: 'done' | 'refused' | 'unknown'
  /** Time of the reply on the monotonic clock, in ms. */
  readonly answeredAtMs: number
  readonly latencyMs: number
}

/** A caller that sends requests until it is stopped. */
export interface RunningCaller<T> {
  /** Resolves with the recorded results once the request in flight has ended. */
  stop: () => Promise<readonly T[]>
}

/** An endpoint that callers connect to. */
export interface CallerEndpoint {
  readonly callers: Address
}

/** Error codes that guarantee that the statement had no effect. */
const NOT_APPLIED_CODES: ReadonlySet<string> = new Set(['BUSY', 'ABORTED', 'LAGGING', 'READONLY', 'MISROUTED', 'CONNLIMIT'])

/** True for an error that guarantees that the statement had no effect. */
export function isNotAppliedCode (code: string | null | undefined): boolean {
  return code !== null && code !== undefined && NOT_APPLIED_CODES.has(code)
}

const RECONNECT_DELAY_MS = 20
/** Pauses of a caller after a success and after any other outcome, in ms. */
const PAUSE_AFTER_SUCCESS_MS = 2
const PAUSE_AFTER_FAILURE_MS = 30
const RETRY_DELAY_MS = 50

/**
 * Retries a statement until it succeeds, as callers do after a refusal, on a new connection and the next endpoint each time.
 * Rejects after the timeout.
 */
export async function queryUntilSuccess (
  endpoints: readonly CallerEndpoint[],
  callerName: string,
  text: string,
  timeoutMs = 10_000
): Promise<WireReply> {
  const deadline = performance.now() + timeoutMs
  let lastError: unknown
  for (let i = 0; performance.now() < deadline; i += 1) {
    const client = await createWireClient(endpoints[i % endpoints.length].callers, callerName).catch((err) => { lastError = err })
    const reply = await client?.query(text).catch((err) => { lastError = err })
    client?.close()
    if (reply?.error === null) return reply
    lastError = reply?.error ?? lastError
    await sleep(RETRY_DELAY_MS)
  }
  throw new Error(`statement did not succeed before the timeout: ${text}; last error: ${String(lastError)}`)
}

/** One round of requests; true if all succeeded. Rejects if the connection closed. */
type Call = (client: WireClient, i: number) => Promise<boolean>

/** Repeats a call on one connection, and reconnects when it is lost. Returns a function that stops it. */
function startCallLoop (endpoint: CallerEndpoint, callerName: string, call: Call): () => Promise<void> {
  let running = true
  async function loop (): Promise<void> {
    let client: WireClient | undefined
    for (let i = 0; running; i += 1) {
      client ??= await createWireClient(endpoint.callers, callerName).catch(() => undefined)
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

/** Starts a caller that writes distinct items one after the other and records the outcome of each. */
export function startWriter (endpoint: CallerEndpoint, name: string, service = 'ledger'): RunningCaller<WriteRecord> {
  const written: WriteRecord[] = []
  const stop = startCallLoop(endpoint, `primary-${service}`, async (client, i) => {
    const item = `${name}.${i}`
    const data = newStatementId()
    const sentAt = performance.now()
    const reply = await client.query(`WRITE ${item} ${data}`).catch(() => undefined)
    const answeredAtMs = performance.now()
    written.push({ item, data, outcome: outcomeOf(reply), answeredAtMs, latencyMs: answeredAtMs - sentAt })
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
  return isNotAppliedCode(reply.error) ? 'refused' : 'unknown'
}

/** Starts a caller that writes its own item and reads it in the same session; records for each read whether it returned the write. */
export function startReadYourWritesClient (endpoint: CallerEndpoint, name: string, service = 'ledger'): RunningCaller<boolean> {
  const reads: boolean[] = []
  const stop = startCallLoop(endpoint, `read_your_writes-${service}`, async (client) => {
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

/**
 * Checks that the log of a group's primary has each acknowledged write exactly once, each write with an unknown outcome at most
 * once, and no rejected write. Returns one line for each violation.
 */
export function findWriteViolations (group: StandInGroup, written: readonly WriteRecord[]): readonly string[] {
  const copies = new Map<string, number>()
  for (const { writes } of group.primary()?.received() ?? []) for (const [item] of writes) copies.set(item, (copies.get(item) ?? 0) + 1)
  return written.flatMap(({ item, outcome }) => {
    const count = copies.get(item) ?? 0
    if (count > 1) return [`${item}: written ${count} times`]
    if (outcome === 'done' && count === 0) return [`${item}: acknowledged write is missing`]
    return outcome === 'refused' && count > 0 ? [`${item}: rejected write was applied`] : []
  })
}
