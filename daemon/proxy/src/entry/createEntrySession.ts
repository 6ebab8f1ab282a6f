import { laterOf, ORIGIN } from '@briarpick/types'
import { BriarpickError, fromErrorData } from '@briarpick/error'
import { type BundleSettings, policyOf } from '@briarpick/bundle'
import { type Consistency, type HomeReply, type HomeRequest, type ReplySink } from '@briarpick/home'
import { type CallerBatch } from '@briarpick/pg-caller'
import { writeError, writeParameterStatus, writeReady } from '@briarpick/pg-wire'
import { type Directory } from '@briarpick/membership'
import { type Metrics } from '@briarpick/metrics'
import { formatToken, readToken } from '@briarpick/session'
import { type RequestOptions } from '@briarpick/statement'
import { type CallerState } from './callerState.js'
import { type FoundHome, type HomeFinder } from './createHomeFinder.js'
import { prepareBatch, type RemoteBatch } from './prepareBatch.js'

/** Options of an entry session. */
export interface EntrySessionOptions {
  readonly database: string
  /** Whose turn its requests count as. */
  readonly caller: string
  readonly state: CallerState
  readonly finder: HomeFinder
  readonly directory: Directory
  readonly settings: () => BundleSettings
  readonly metrics: Metrics
  /** Asks control for newer views. */
  readonly refreshViews: () => Promise<void>
  readonly write: (bytes: Buffer) => Promise<void> | undefined
}

/** One caller's requests, from batch to answer. */
export interface EntrySession {
  handle: (batch: CallerBatch) => Promise<void>
  cancel: () => void
  /** True between BEGIN and its end, and while a request is at work. */
  isBusy: () => boolean
  close: () => void
}

/** Parameter that tells the caller its watermark. */
const TOKEN_PARAMETER = 'briarpick.token'
/** Pause before a home is looked for again, in ms. */
const FIND_AGAIN_MS = 20

/** Failures after which another home may take the request: nothing ran. */
const MOVED: ReadonlySet<string> = new Set(['ERR_BRIARPICK_NO_HOME', 'ERR_BRIARPICK_DRAINING'])
/** Failures after which a request that may run again is sent again. */
const LOST: ReadonlySet<string> = new Set(['ERR_BRIARPICK_RPC', 'ERR_BRIARPICK_OUTCOME_UNKNOWN'])

/** Creates the session of a caller. */
export function createEntrySession (opts: EntrySessionOptions): EntrySession {
  const { state, database } = opts
  let pinned: FoundHome | undefined
  let working: FoundHome | undefined
  let lastWrite = ORIGIN
  let skipping = false
  let busy = false
  let closed = false

  function requestOf (batch: RemoteBatch, deadlineMs: number): HomeRequest {
    const { options, bytes, dropParseComplete, access, transaction, digest } = batch
    refuseMisplacedKey(batch, state)
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

  /** With a token or an age, a read must also see the writes of its own connection. */
  function consistencyOf (options: RequestOptions): Consistency {
    const presented = options.token === undefined ? undefined : readToken(options.token) ?? malformedToken(options.token)
    const isOwnEnough = presented !== undefined || options.maxAgeMs !== undefined
    return {
      session: options.session,
      token: isOwnEnough ? laterOf(presented ?? ORIGIN, lastWrite) : undefined,
      maxAgeMs: options.maxAgeMs,
      current: options.current,
    }
  }

  function deadlineOf (batch: RemoteBatch): number {
    const service = opts.directory.view(database)?.service ?? ''
    const limit = policyOf(opts.settings(), service).request_timeout
    return Math.min(batch.options.deadlineMs ?? limit, limit)
  }

  /** Runs a request on the home, wherever it moves to, until its deadline. */
  async function runAnywhere (batch: RemoteBatch, sink: ReplySink): Promise<HomeReply> {
    const until = performance.now() + deadlineOf(batch)
    let mayHaveRun = false
    for (;;) {
      const left = until - performance.now()
      const reply = await runOnce(batch, Math.max(1, left), sink)
      if (reply.kind === 'done') return reply
      const isLost = LOST.has(reply.error.code) && maySendAgain(batch)
      const isMoved = MOVED.has(reply.error.code) && pinned === undefined
      mayHaveRun ||= isLost && batch.access === 'write'
      if ((!isMoved && !isLost) || left <= FIND_AGAIN_MS) return truthful(reply, mayHaveRun)
      opts.metrics.count('retries', isMoved ? 'home_moved' : 'link_lost')
      opts.refreshViews().catch(() => {})
      await opts.finder.changed(database, FIND_AGAIN_MS)
    }
  }

  function maySendAgain (batch: RemoteBatch): boolean {
    return pinned === undefined && batch.transaction === 'none' && (batch.access === 'read' || batch.options.key !== undefined)
  }

  async function runOnce (batch: RemoteBatch, deadlineMs: number, sink: ReplySink): Promise<HomeReply> {
    const request = requestOf(batch, deadlineMs)
    const home = pinned ?? await findHome()
    if (!('session' in home)) return home
    working = home
    const reply = await home.session.run(request, sink)
    working = undefined
    keep(home, reply)
    return reply
  }

  async function findHome (): Promise<FoundHome | HomeReply> {
    try {
      if (opts.directory.view(database) === undefined) await opts.refreshViews()
      if (opts.directory.view(database) === undefined) throw unknownDatabase(database)
      return await opts.finder.find(database)
    } catch (err) {
      if (!(err instanceof BriarpickError)) throw err
      opts.metrics.count('refusals', err.code)
      return { kind: 'failed', status: 'I', error: { code: err.code, message: err.message, hint: err.hint, retryAfterMs: err.retryAfterMs } }
    }
  }

  /** Stays with a home while a transaction is open on it. */
  function keep (home: FoundHome, reply: HomeReply): void {
    const isOpen = reply.status !== 'I'
    if (isOpen && !closed) {
      pinned = home
      return
    }
    pinned = undefined
    home.release(!isOpen)
  }

  function finish (reply: HomeReply, flushed: boolean): Buffer {
    state.status = reply.status
    if (reply.kind === 'done' && reply.token !== undefined) lastWrite = laterOf(lastWrite, reply.token)
    const parts: Buffer[] = []
    if (reply.kind === 'failed') parts.push(writeError(fromErrorData(reply.error)))
    else if (reply.token !== undefined) parts.push(writeParameterStatus(TOKEN_PARAMETER, formatToken(reply.token)))
    if (flushed) skipping = reply.kind === 'failed'
    else parts.push(writeReady(reply.status))
    return Buffer.concat(parts)
  }

  async function answer (batch: CallerBatch): Promise<void> {
    try {
      const prepared = prepareBatch(batch, state)
      if (prepared.kind === 'local') {
        await opts.write(Buffer.concat([prepared.answer, batch.flushed ? Buffer.alloc(0) : writeReady(state.status)]))
        return
      }
      const startedAt = performance.now()
      const reply = await runAnywhere(prepared, opts.write)
      opts.metrics.latency(prepared.access, performance.now() - startedAt)
      await opts.write(finish(reply, batch.flushed))
    } catch (err) {
      await opts.write(refuse(err, batch))
    }
  }

  function refuse (err: unknown, batch: CallerBatch): Buffer {
    const known = err instanceof BriarpickError ? err : protocolError(err)
    opts.metrics.count('refusals', known.code)
    if (batch.flushed) skipping = true
    return Buffer.concat(batch.flushed ? [writeError(known)] : [writeError(known), writeReady(state.status)])
  }

  return {
    async handle (batch) {
      if (skipping) {
        if (batch.flushed) return
        skipping = false
        await opts.write(writeReady(state.status))
        return
      }
      busy = true
      await answer(batch)
      busy = false
    },
    cancel: () => working?.session.cancel(),
    isBusy: () => busy || pinned !== undefined,
    close () {
      closed = true
      pinned?.release(false)
      pinned = undefined
    },
  }
}

/** A refusal is only true if no earlier attempt may have run. */
function truthful (reply: Extract<HomeReply, { kind: 'failed' }>, mayHaveRun: boolean): HomeReply {
  if (!mayHaveRun || reply.error.code === 'ERR_BRIARPICK_OUTCOME_UNKNOWN') return reply
  return {
    ...reply,
    error: {
      code: 'ERR_BRIARPICK_OUTCOME_UNKNOWN',
      message: `an attempt was lost, then: ${reply.error.message}`,
      hint: 'send it again with the same briarpick_key; it runs at most once',
    },
  }
}

function refuseMisplacedKey (batch: RemoteBatch, state: CallerState): void {
  if (batch.options.key === undefined || batch.access === 'read') return
  if (batch.transaction === 'none' && state.status === 'I') return
  throw new BriarpickError('ERR_BRIARPICK_UNSUPPORTED', 'briarpick_key does not work inside a transaction block', {
    hint: 'put the key on a single write, or insert a key of your own in the transaction',
  })
}

function malformedToken (token: string): never {
  throw new BriarpickError('ERR_BRIARPICK_USAGE', `"${token}" is not a token`, { hint: 'present the value of briarpick.token as it came after a write' })
}

function unknownDatabase (database: string): BriarpickError {
  return new BriarpickError('ERR_BRIARPICK_UNKNOWN_DATABASE', `no target has announced database ${database}`, {
    hint: 'check the name, and that its targets run and announce themselves', retryAfterMs: 1000,
  })
}

function protocolError (err: unknown): BriarpickError {
  return new BriarpickError('ERR_BRIARPICK_PROTOCOL', `the message cannot be read: ${err instanceof Error ? err.message : String(err)}`, {
    hint: 'check that the driver speaks PostgreSQL 3.0', cause: err,
  })
}
