import { laterOf, ORIGIN } from '@briarpick/types'
import { BriarpickError, fromErrorData } from '@briarpick/error'
import { type BundleSettings, policyOf } from '@briarpick/bundle'
import { type Consistency, type HomeReply, type HomeRequest, type ReplySink } from '@briarpick/home'
import { type CallerBatch } from '@briarpick/pg-caller'
import { writeError, writeParameterStatus, writeReadyForQuery } from '@briarpick/pg-wire'
import { type Directory } from '@briarpick/membership'
import { type Metrics } from '@briarpick/metrics'
import { formatToken, readToken } from '@briarpick/session'
import { type RequestOptions } from '@briarpick/statement'
import { type CallerState } from './callerState.js'
import { type FoundHome, type HomeFinder } from './createHomeFinder.js'
import { prepareBatch, type RemoteBatch } from './prepareBatch.js'

/** Options of `createEntrySession`. */
export interface EntrySessionOptions {
  readonly database: string
  /** Identifies the caller in the home's queue, which is served round-robin by caller. */
  readonly caller: string
  readonly state: CallerState
  readonly homeFinder: HomeFinder
  readonly directory: Directory
  readonly settings: () => BundleSettings
  readonly metrics: Metrics
  /** Requests newer views from control; resolves when they have arrived or the request timed out. */
  readonly refreshViews: () => Promise<void>
  /** Writes to the caller; returns a promise if the write buffer is full, resolved once it has drained. */
  readonly write: (bytes: Buffer) => Promise<void> | undefined
}

/** Runs the requests of one caller. */
export interface EntrySession {
  /** Runs a batch and writes its answer; batches are handled one after another. */
  handle: (batch: CallerBatch) => Promise<void>
  /** Cancels the running request, if any. */
  cancel: () => void
  /** True while a transaction is open or a request is running. */
  isBusy: () => boolean
  close: () => void
}

/** Parameter that reports the watermark of a write to the caller. */
const TOKEN_PARAMETER = 'briarpick.token'
/** Longest wait for a changed view before a retry, in ms. */
const RETRY_PAUSE_MS = 20

/** Errors after which the request is retried on another home: it has not run. */
const HOME_MOVED_CODES: ReadonlySet<string> = new Set(['ERR_BRIARPICK_NO_HOME', 'ERR_BRIARPICK_DRAINING'])
/** Errors after which a retryable request is sent again: it may have run. */
const LINK_LOST_CODES: ReadonlySet<string> = new Set(['ERR_BRIARPICK_RPC', 'ERR_BRIARPICK_OUTCOME_UNKNOWN'])

/** Creates the session of a caller. Errors are written to the caller as PostgreSQL errors. */
export function createEntrySession (opts: EntrySessionOptions): EntrySession {
  const { state, database } = opts
  /** Home with the open transaction. */
  let pinnedHome: FoundHome | undefined
  /** Home that runs a request now. */
  let activeHome: FoundHome | undefined
  let lastWrite = ORIGIN
  /** True after an error in a flushed batch: as in PostgreSQL, messages are skipped until Sync. */
  let skippingToSync = false
  let busy = false
  let closed = false

  function requestOf (batch: RemoteBatch, deadlineMs: number): HomeRequest {
    const { options, bytes, dropParseComplete, access, transaction, digest } = batch
    rejectKeyInTransaction(batch, state)
    return {
      bytes,
      dropParseComplete,
      access,
      transaction,
      consistency: consistencyOf(options),
      key: options.key,
      keyDigest: digest,
      caller: opts.caller,
      deadlineMs,
    }
  }

  /** With a token or a maximum age, a read must also see the writes of its own connection. */
  function consistencyOf (options: RequestOptions): Consistency {
    const presented = options.token === undefined ? undefined : readToken(options.token) ?? malformedToken(options.token)
    const includesOwnWrites = presented !== undefined || options.maxAgeMs !== undefined
    return {
      session: options.session,
      token: includesOwnWrites ? laterOf(presented ?? ORIGIN, lastWrite) : undefined,
      maxAgeMs: options.maxAgeMs,
      current: options.current,
    }
  }

  function deadlineOf (batch: RemoteBatch): number {
    const service = opts.directory.view(database)?.service ?? ''
    const limit = policyOf(opts.settings(), service).request_timeout
    return Math.min(batch.options.deadlineMs ?? limit, limit)
  }

  /** Runs a request, retrying until its deadline while the home moves or links are lost. */
  async function runWithRetries (batch: RemoteBatch, sink: ReplySink): Promise<HomeReply> {
    const deadlineAt = performance.now() + deadlineOf(batch)
    let mayHaveRun = false
    for (;;) {
      const remainingMs = deadlineAt - performance.now()
      const reply = await runOnce(batch, Math.max(1, remainingMs), sink)
      if (reply.kind === 'done') return reply
      const isLinkLost = LINK_LOST_CODES.has(reply.error.code) && isRetryable(batch)
      const isHomeMoved = HOME_MOVED_CODES.has(reply.error.code) && pinnedHome === undefined
      mayHaveRun ||= isLinkLost && batch.access === 'write'
      if ((!isHomeMoved && !isLinkLost) || remainingMs <= RETRY_PAUSE_MS) return replyAfterRetries(reply, mayHaveRun)
      opts.metrics.count('retries', isHomeMoved ? 'home_moved' : 'link_lost')
      opts.refreshViews().catch(() => {})
      await opts.homeFinder.waitForChange(database, RETRY_PAUSE_MS)
    }
  }

  function isRetryable (batch: RemoteBatch): boolean {
    return pinnedHome === undefined && batch.transaction === 'none' && (batch.access === 'read' || batch.options.key !== undefined)
  }

  async function runOnce (batch: RemoteBatch, deadlineMs: number, sink: ReplySink): Promise<HomeReply> {
    const request = requestOf(batch, deadlineMs)
    const home = pinnedHome ?? await findHome()
    if (!('session' in home)) return home
    activeHome = home
    const reply = await home.session.run(request, sink)
    activeHome = undefined
    pinOrRelease(home, reply)
    return reply
  }

  async function findHome (): Promise<FoundHome | HomeReply> {
    try {
      if (opts.directory.view(database) === undefined) await opts.refreshViews()
      if (opts.directory.view(database) === undefined) throw unknownDatabase(database)
      return await opts.homeFinder.find(database)
    } catch (err) {
      if (!(err instanceof BriarpickError)) throw err
      opts.metrics.count('refusals', err.code)
      return { kind: 'failed', status: 'I', error: { code: err.code, message: err.message, hint: err.hint, retryAfterMs: err.retryAfterMs } }
    }
  }

  /** Keeps the session of a home while a transaction is open on it, and releases it otherwise. */
  function pinOrRelease (home: FoundHome, reply: HomeReply): void {
    const isOpen = reply.status !== 'I'
    if (isOpen && !closed) {
      pinnedHome = home
      return
    }
    pinnedHome = undefined
    home.release(!isOpen)
  }

  function encodeReply (reply: HomeReply, flushed: boolean): Buffer {
    state.status = reply.status
    if (reply.kind === 'done' && reply.token !== undefined) lastWrite = laterOf(lastWrite, reply.token)
    const parts: Buffer[] = []
    if (reply.kind === 'failed') parts.push(writeError(fromErrorData(reply.error)))
    else if (reply.token !== undefined) parts.push(writeParameterStatus(TOKEN_PARAMETER, formatToken(reply.token)))
    if (flushed) skippingToSync = reply.kind === 'failed'
    else parts.push(writeReadyForQuery(reply.status))
    return Buffer.concat(parts)
  }

  async function answer (batch: CallerBatch): Promise<void> {
    try {
      const prepared = prepareBatch(batch, state)
      if (prepared.kind === 'local') {
        await opts.write(Buffer.concat([prepared.answer, batch.flushed ? Buffer.alloc(0) : writeReadyForQuery(state.status)]))
        return
      }
      const startedAt = performance.now()
      const reply = await runWithRetries(prepared, opts.write)
      opts.metrics.latency(prepared.access, performance.now() - startedAt)
      await opts.write(encodeReply(reply, batch.flushed))
    } catch (err) {
      await opts.write(reject(err, batch))
    }
  }

  function reject (err: unknown, batch: CallerBatch): Buffer {
    const refusal = err instanceof BriarpickError ? err : protocolError(err)
    opts.metrics.count('refusals', refusal.code)
    if (batch.flushed) skippingToSync = true
    return Buffer.concat(batch.flushed ? [writeError(refusal)] : [writeError(refusal), writeReadyForQuery(state.status)])
  }

  return {
    async handle (batch) {
      if (skippingToSync) {
        if (batch.flushed) return
        skippingToSync = false
        await opts.write(writeReadyForQuery(state.status))
        return
      }
      busy = true
      await answer(batch)
      busy = false
    },
    cancel: () => activeHome?.session.cancel(),
    isBusy: () => busy || pinnedHome !== undefined,
    close () {
      closed = true
      pinnedHome?.release(false)
      pinnedHome = undefined
    },
  }
}

/** A refusal states that nothing ran. If an earlier attempt may have run, the outcome is reported as unknown instead. */
function replyAfterRetries (reply: Extract<HomeReply, { kind: 'failed' }>, mayHaveRun: boolean): HomeReply {
  if (!mayHaveRun || reply.error.code === 'ERR_BRIARPICK_OUTCOME_UNKNOWN') return reply
  return {
    ...reply,
    error: {
      code: 'ERR_BRIARPICK_OUTCOME_UNKNOWN',
      message: `an earlier attempt may have run; the last one failed: ${reply.error.message}`,
      hint: 'resend it with the same briarpick_key; the write runs at most once',
    },
  }
}

function rejectKeyInTransaction (batch: RemoteBatch, state: CallerState): void {
  if (batch.options.key === undefined || batch.access === 'read') return
  if (batch.transaction === 'none' && state.status === 'I') return
  throw new BriarpickError('ERR_BRIARPICK_UNSUPPORTED', 'briarpick_key is not supported inside a transaction block', {
    hint: 'use the key on a single write, or insert a key of your own in the transaction',
  })
}

function malformedToken (token: string): never {
  throw new BriarpickError('ERR_BRIARPICK_USAGE', `"${token}" is not a valid token`, { hint: 'send the value of briarpick.token as it was reported after a write' })
}

function unknownDatabase (database: string): BriarpickError {
  return new BriarpickError('ERR_BRIARPICK_UNKNOWN_DATABASE', `no target has announced database ${database}`, {
    hint: 'check the name, and that its targets are running and announce themselves', retryAfterMs: 1000,
  })
}

function protocolError (err: unknown): BriarpickError {
  return new BriarpickError('ERR_BRIARPICK_PROTOCOL', `malformed message: ${err instanceof Error ? err.message : String(err)}`, {
    hint: 'check that the driver uses PostgreSQL protocol 3.0', cause: err,
  })
}
