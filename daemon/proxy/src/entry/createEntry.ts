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
import { readOption, type RequestOptions } from '@briarpick/statement'
import { createCallerKey } from './callerKey.js'
import { createCallerState } from './callerState.js'
import { createEntrySession, type EntrySession } from './createEntrySession.js'
import { type HomeFinder } from './createHomeFinder.js'

/** Options of an entry. */
export interface EntryOptions {
  readonly settings: ProxySettings['callers']
  readonly finder: HomeFinder
  readonly directory: Directory
  readonly bundle: () => BundleSettings
  readonly metrics: Metrics
  /** Passes a cancel request on to the proxy that knows its key. */
  readonly forwardCancel: (key: BackendKey) => void
  /** Asks control for newer views. */
  readonly refreshViews: () => Promise<void>
  /** Mark of this proxy in the keys of its callers. */
  readonly mark: number
}

/** Takes callers and answers them. */
export interface Entry extends Service {
  /** Starts to take callers. */
  listen: () => Promise<Address>
  /** Cancels the request of a key of this proxy; false if there is none. */
  cancel: (key: BackendKey) => boolean
  callers: () => number
  /** Takes no new callers, lets requests and transactions end, then says goodbye. */
  drain: (timeoutMs: number) => Promise<void>
}

interface Caller {
  readonly key: BackendKey
  readonly socket: Socket
  readonly session: EntrySession
  readonly isIdle: () => boolean
}

const DRAIN_CHECK_MS = 10
const TOO_MANY_RETRY_MS = 1000
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
const OPTION_IN_STARTUP = /-c\s*briarpick\.(\w+)=(\S+)/g
const log = createLogger('proxy:entry')

/** Creates an entry that does not listen yet. */
export function createEntry (opts: EntryOptions): Entry {
  const callers = new Map<number, Caller>()
  const sockets = new Set<Socket>()
  const secureContext = readSecureContext(opts.settings)
  const sentAway = new Set<number>()
  let draining = false

  async function serve (socket: Socket): Promise<void> {
    const key = createCallerKey(opts.mark)
    const accepted = await acceptCaller(socket, {
      greeting: { key, parameters: SERVER_PARAMETERS },
      secureContext,
      requireTls: opts.settings.require_tls,
      passwords: opts.settings.passwords,
      onCancel: (request) => { if (!cancel(request)) opts.forwardCancel(request) },
    })
    if (accepted === undefined) return
    const refusal = refusalOf()
    if (refusal === undefined) startSession(accepted, key)
    else refuse(accepted.socket, refusal)
  }

  function refusalOf (): BriarpickError | undefined {
    if (draining) return goodbye()
    return callers.size >= opts.settings.max_connections ? tooManyCallers(opts.settings.max_connections) : undefined
  }

  function refuse (socket: Socket, err: BriarpickError): void {
    opts.metrics.count('refusals', err.code)
    socket.end(writeError(err, 'FATAL'))
  }

  function startSession ({ socket, parameters, early }: AcceptedCaller, key: BackendKey): void {
    const options = startupOptions(parameters.options ?? '')
    const channel = createCallerChannel({
      socket,
      early,
      maxBatchBytes: opts.settings.max_batch,
      // What comes after the caller was sent away was refused with that, so it must not run.
      async onBatch (batch) {
        if (!sentAway.has(key.processId)) await session.handle(batch)
      },
      onClose () {
        callers.delete(key.processId)
        sentAway.delete(key.processId)
        session.close()
      },
    })
    const session = createEntrySession({
      database: parameters.database ?? parameters.user ?? '',
      caller: parameters.application_name ?? `${socket.remoteAddress}:${socket.remotePort}`,
      state: createCallerState(options),
      finder: opts.finder,
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

  function sendAwayIdle (): void {
    for (const caller of [...callers.values()]) {
      if (!caller.isIdle()) continue
      callers.delete(caller.key.processId)
      sentAway.add(caller.key.processId)
      caller.socket.end(writeError(goodbye(), 'FATAL'))
    }
  }

  return {
    listen: async () => await listenOn(server, opts.settings.listen),
    cancel,
    callers: () => callers.size,
    async drain (timeoutMs) {
      draining = true
      server.close()
      const until = performance.now() + timeoutMs
      for (sendAwayIdle(); callers.size > 0 && performance.now() < until; sendAwayIdle()) {
        await new Promise((resolve) => setTimeout(resolve, DRAIN_CHECK_MS))
      }
      log('drained', { left: callers.size })
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

function startupOptions (text: string): RequestOptions {
  let options: RequestOptions = {}
  for (const [, name, value] of text.matchAll(OPTION_IN_STARTUP)) options = { ...options, ...readOption(name, value) }
  return options
}

function goodbye (): BriarpickError {
  return new BriarpickError('ERR_BRIARPICK_DRAINING', 'this proxy is stopping', { hint: 'connect again: the balancer leads to another proxy', retryAfterMs: 0 })
}

function tooManyCallers (limit: number): BriarpickError {
  return new BriarpickError('ERR_BRIARPICK_OVERLOADED', `this proxy has its limit of ${limit} callers`, {
    hint: 'connect again: the balancer may lead to another proxy', retryAfterMs: TOO_MANY_RETRY_MS,
  })
}
