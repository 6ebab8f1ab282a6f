import fs from 'node:fs'
import net, { type Socket } from 'node:net'
import tls from 'node:tls'
import { listenOn } from '@briarpick/tcp'
import { type Address } from '@briarpick/types'
import { BriarpickError } from '@briarpick/error'
import { type BundleSettings } from '@briarpick/bundle'
import { type Service } from '@briarpick/kernel'
import { createLogger } from '@briarpick/logs'
import { type Directory } from '@briarpick/membership'
import { type Metrics } from '@briarpick/metrics'
import { acceptCaller, type AcceptedCaller, type BackendKey, createCallerChannel } from '@briarpick/pg-caller'
import { writeError } from '@briarpick/pg-wire'
import { type ProxySettings } from '@briarpick/settings'
import { createCallerKeys } from './callerKey.js'
import { createCallerState } from './callerState.js'
import { createEntrySession, type EntrySession } from './createEntrySession.js'
import { type HomeFinder } from './createHomeFinder.js'
import { readStartupOptions } from './startupOptions.js'

/** Options of `createEntry`. */
export interface EntryOptions {
  readonly settings: ProxySettings['callers']
  readonly homeFinder: HomeFinder
  readonly directory: Directory
  readonly bundle: () => BundleSettings
  readonly metrics: Metrics
  /** Forwards a cancel request to the proxy that issued its key. */
  readonly forwardCancel: (key: BackendKey) => void
  /** Requests newer views from control; resolves when they have arrived or the request timed out. */
  readonly refreshViews: () => Promise<void>
  /** Hash of this proxy, contained in the keys of its callers. */
  readonly proxyHash: number
}

/** Accepts callers' connections and serves their requests. */
export interface Entry extends Service {
  /** Starts listening; resolves with the bound address. */
  listen: () => Promise<Address>
  /** Cancels the running request of the caller with this key; false if no caller of this proxy has it. */
  cancel: (key: BackendKey) => boolean
  /** Number of connected callers. */
  callers: () => number
  /** Stops accepting callers and disconnects each one as soon as it is idle. Resolves when none is left, or after `timeoutMs`. */
  drain: (timeoutMs: number) => Promise<void>
}

interface Caller {
  readonly key: BackendKey
  readonly socket: Socket
  readonly session: EntrySession
  readonly isIdle: () => boolean
}

/** Interval at which a drain checks for idle callers, in ms. */
const DRAIN_POLL_MS = 10
/** Retry delay for callers rejected at the connection limit, in ms. */
const OVERLOADED_RETRY_MS = 1000
/** Parameters reported to each caller on connect. */
const SERVER_PARAMETERS = {
  server_version: '16.0',
  server_encoding: 'UTF8',
  client_encoding: 'UTF8',
  DateStyle: 'ISO, MDY',
  IntervalStyle: 'postgres',
  TimeZone: 'UTC',
  integer_datetimes: 'on',
  standard_conforming_strings: 'on',
}
const log = createLogger('proxy:entry')

/** Creates an entry; `listen` starts it. Throws if the TLS files cannot be read. */
export function createEntry (opts: EntryOptions): Entry {
  const keys = createCallerKeys(opts.proxyHash)
  const callers = new Map<number, Caller>()
  const sockets = new Set<Socket>()
  const secureContext = readSecureContext(opts.settings)
  /** Process ids of callers that were sent the shutdown error and whose sockets are still open. */
  const closing = new Set<number>()
  let draining = false

  async function serve (socket: Socket): Promise<void> {
    const key = keys.take()
    if (key === undefined) {
      opts.metrics.count('refusals', 'ERR_BRIARPICK_OVERLOADED')
      socket.destroy()
      return
    }
    socket.on('close', () => keys.release(key))
    const accepted = await acceptCaller(socket, {
      startupResponse: { key, parameters: SERVER_PARAMETERS },
      secureContext,
      requireTls: opts.settings.require_tls,
      passwords: opts.settings.passwords,
      onCancel: (request) => { if (!cancel(request)) opts.forwardCancel(request) },
    })
    if (accepted === undefined) return
    const refusal = admissionError()
    if (refusal === undefined) startSession(accepted, key)
    else reject(accepted.socket, refusal)
  }

  function admissionError (): BriarpickError | undefined {
    if (draining) return proxyStopping()
    return callers.size >= opts.settings.max_connections ? tooManyCallers(opts.settings.max_connections) : undefined
  }

  function reject (socket: Socket, err: BriarpickError): void {
    opts.metrics.count('refusals', err.code)
    socket.end(writeError(err, 'FATAL'))
  }

  function startSession ({ socket, parameters, pipelinedBytes: pipelined }: AcceptedCaller, key: BackendKey): void {
    const options = readStartupOptions(parameters.options ?? '')
    const channel = createCallerChannel({
      socket,
      pipelinedBytes: pipelined,
      maxBatchBytes: opts.settings.max_batch,
      // The shutdown error tells the caller that later requests are rejected, so they must not run.
      async onBatch (batch) {
        if (!closing.has(key.processId)) await session.handle(batch)
      },
      onClose () {
        callers.delete(key.processId)
        closing.delete(key.processId)
        session.close()
      },
    })
    const session = createEntrySession({
      database: parameters.database ?? parameters.user ?? '',
      caller: parameters.application_name ?? `${socket.remoteAddress}:${socket.remotePort}`,
      state: createCallerState(options),
      homeFinder: opts.homeFinder,
      directory: opts.directory,
      settings: opts.bundle,
      metrics: opts.metrics,
      refreshViews: opts.refreshViews,
      write: (bytes) => channel.write(bytes),
    })
    callers.set(key.processId, { key, socket, session, isIdle: () => channel.pending() === 0 && !session.isBusy() })
  }

  function cancel (key: BackendKey): boolean {
    const caller = callers.get(key.processId)
    if (caller?.key.secret !== key.secret) return false
    caller.session.cancel()
    return true
  }

  const server = net.createServer((socket) => {
    sockets.add(socket)
    socket.on('close', () => sockets.delete(socket))
    serve(socket).catch((err) => {
      log('callerFailed', { reason: String(err) })
      socket.destroy()
    })
  })

  function closeIdleCallers (): void {
    for (const caller of [...callers.values()]) {
      if (!caller.isIdle()) continue
      callers.delete(caller.key.processId)
      closing.add(caller.key.processId)
      caller.socket.end(writeError(proxyStopping(), 'FATAL'))
    }
  }

  return {
    listen: async () => await listenOn(server, opts.settings.listen),
    cancel,
    callers: () => callers.size,
    async drain (timeoutMs) {
      draining = true
      server.close()
      const deadlineAt = performance.now() + timeoutMs
      for (closeIdleCallers(); callers.size > 0 && performance.now() < deadlineAt; closeIdleCallers()) {
        await new Promise((resolve) => setTimeout(resolve, DRAIN_POLL_MS))
      }
      log('callersDrained', { left: callers.size })
    },
    async close () {
      server.close()
      for (const socket of sockets) socket.destroy()
    },
  }
}

function readSecureContext (settings: ProxySettings['callers']): tls.SecureContext | undefined {
  const { tls_certificate: certificate, tls_key: key } = settings
  if (certificate === undefined || key === undefined) return undefined
  return tls.createSecureContext({ cert: fs.readFileSync(certificate), key: fs.readFileSync(key) })
}

function proxyStopping (): BriarpickError {
  return new BriarpickError('ERR_BRIARPICK_DRAINING', 'this proxy is stopping', { hint: 'reconnect: the load balancer routes to another proxy', retryAfterMs: 0 })
}

function tooManyCallers (limit: number): BriarpickError {
  return new BriarpickError('ERR_BRIARPICK_OVERLOADED', `this proxy is at its limit of ${limit} callers`, {
    hint: 'reconnect: the load balancer may route to another proxy', retryAfterMs: OVERLOADED_RETRY_MS,
  })
}
