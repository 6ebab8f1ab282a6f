import net from 'node:net'
import { type Address, type LogPosition, statementFailure, type StatementRequest } from '@briarpick/types'
import { type StatementOutcome } from '@briarpick/statement-home'
import { hasPlainTexts } from './binaryTexts.js'
import { createStatementLinkSocket, type StatementLinkSocket } from './createStatementLinkSocket.js'
import { NOT_HOME } from './createStatementLinkServer.js'
import { type StatementLinkMessage } from './statementLinkCodec.js'

/** Result of a request on a link. */
export type StatementLinkResult =
  | { readonly kind: 'outcome', readonly outcome: StatementOutcome }
  /** No connection could be opened, or the other end is silent: the request was not sent. */
  | { readonly kind: 'notSent' }
  /**
   * The connection was lost after the request was sent, so the request may have run; or the other end is silent and the request
   * is a read outside a transaction, which may be sent elsewhere.
   */
  | { readonly kind: 'lost' }

/** Link to the homes of one proxy. Connects on first use, and reconnects on the first use after the connection is lost. */
export interface StatementLink {
  /** Runs a request. Once the signal is aborted, the home is told not to begin it if it still waits. */
  run: (request: StatementRequest, signal?: AbortSignal) => Promise<StatementLinkResult>
  /** Time since the other end last answered, in ms, if it is silent or cannot be connected; otherwise 0. */
  unresponsiveMs: () => number
  /**
   * Asks the home to record a commit that completed at a previous home. Resolves to false if the commit must not be
   * acknowledged or the home did not respond.
   */
  acknowledgeForPreviousHome: (database: string, term: number, position: LogPosition) => Promise<boolean>
  /** Rolls back an open transaction, without waiting for the result. */
  rollBack: (database: string, transaction: string) => void
  close: () => void
}

/** Maximum duration of a connection attempt, in ms. */
const CONNECT_TIMEOUT_MS = 300
/** Interval of the probes of a link with pending requests, in ms. */
const PROBE_INTERVAL_MS = 100
/**
 * Time without a message after which a link with pending requests counts as silent, in ms: two probes and their answers. Work that
 * is under way continues, but nothing more is sent until the other end answers.
 */
const SILENT_AFTER_MS = 250
/** Time without a message after which a link with pending requests is closed, in ms: enough for three probes. */
const PROBE_TIMEOUT_MS = 500
/** Time after a failed connection attempt during which requests fail at once with `notSent`, in ms. */
const RECONNECT_BACKOFF_MS = 250

/** Time without a request after which an earlier silence of the other end is forgotten, in ms: another process may listen there now. */
const FORGET_SILENCE_AFTER_MS = 1000

interface PendingRequest {
  readonly isRepeatable: boolean
  readonly resolve: (result: StatementLinkResult) => void
}

interface OpenLink {
  readonly socket: StatementLinkSocket
  readonly pendingRequests: Map<number, PendingRequest>
  readonly pendingAcknowledgements: Map<number, (granted: boolean) => void>
  lastReceivedAt: number
}

/** Creates a link to the statement link server at an address, without connecting. */
export function createStatementLink (opts: { readonly address: Address }): StatementLink {
  let current: Promise<OpenLink | undefined> | undefined
  let lastNumber = 0
  let connectFailedAt = -Infinity
  /** Time of the last message before the other end became unresponsive, in ms; undefined while it answers. */
  let unresponsiveSince: number | undefined
  let lastUsedAt = -Infinity
  let closed = false

  function connect (): Promise<OpenLink | undefined> {
    return new Promise((resolve) => {
      const socket = net.connect(opts.address.port, opts.address.host)
      const startedAt = performance.now()
      const pendingRequests: OpenLink['pendingRequests'] = new Map()
      const timer = setTimeout(() => socket.destroy(), CONNECT_TIMEOUT_MS)
      let probeTimer: NodeJS.Timeout | undefined
      const link: OpenLink = {
        socket: createStatementLinkSocket(socket, (message) => {
          link.lastReceivedAt = performance.now()
          unresponsiveSince = undefined
          settle(link, message)
        }),
        pendingRequests,
        pendingAcknowledgements: new Map(),
        lastReceivedAt: performance.now(),
      }
      socket.once('connect', () => {
        clearTimeout(timer)
        link.lastReceivedAt = performance.now()
        unresponsiveSince = undefined
        probeTimer = setInterval(() => probeLink(link), PROBE_INTERVAL_MS)
        resolve(link)
      })
      socket.once('close', () => {
        if (probeTimer === undefined) {
          connectFailedAt = performance.now()
          unresponsiveSince ??= startedAt
        }
        clearTimeout(timer)
        clearInterval(probeTimer)
        current = undefined
        resolve(undefined)
        for (const pending of pendingRequests.values()) pending.resolve({ kind: 'lost' })
        for (const resolvePending of link.pendingAcknowledgements.values()) resolvePending(false)
        pendingRequests.clear()
      })
    })
  }

  function settle (link: OpenLink, message: StatementLinkMessage): void {
    if (message.kind === 'outcome') {
      link.pendingRequests.get(message.number)?.resolve({ kind: 'outcome', outcome: message.outcome })
      link.pendingRequests.delete(message.number)
    } else if (message.kind === 'acknowledged') {
      link.pendingAcknowledgements.get(message.number)?.(message.granted)
      link.pendingAcknowledgements.delete(message.number)
    }
  }

  function probeLink (link: OpenLink): void {
    const isWaiting = link.pendingRequests.size + link.pendingAcknowledgements.size > 0
    if (!isWaiting && unresponsiveSince === undefined) {
      link.lastReceivedAt = performance.now()
      return
    }
    const silentMs = performance.now() - link.lastReceivedAt
    if (silentMs > SILENT_AFTER_MS) {
      unresponsiveSince ??= link.lastReceivedAt
      loseRepeatable(link)
    }
    if (silentMs > PROBE_TIMEOUT_MS) link.socket.close()
    else link.socket.send({ kind: 'ping' })
  }

  /** Gives up the reads that can be sent elsewhere; other requests may still be answered until the link is closed. */
  function loseRepeatable ({ pendingRequests }: OpenLink): void {
    for (const [number, { isRepeatable, resolve }] of [...pendingRequests]) {
      if (!isRepeatable) continue
      pendingRequests.delete(number)
      resolve({ kind: 'lost' })
    }
  }

  return {
    async run (request, signal) {
      if (current === undefined && performance.now() - lastUsedAt > FORGET_SILENCE_AFTER_MS) unresponsiveSince = undefined
      lastUsedAt = performance.now()
      if (closed || (current === undefined && performance.now() - connectFailedAt < RECONNECT_BACKOFF_MS)) return { kind: 'notSent' }
      // While the other end is silent, or is being connected again, nothing more is sent: it would only wait.
      if (unresponsiveSince !== undefined && current !== undefined) return { kind: 'notSent' }
      current ??= connect()
      const link = await current
      if (link === undefined || signal?.aborted === true) return { kind: 'notSent' }
      lastNumber += 1
      const number = lastNumber
      const cancel = () => link.socket.send({ kind: 'cancel', number })
      signal?.addEventListener('abort', cancel, { once: true })
      const result = await new Promise<StatementLinkResult>((resolve) => {
        link.pendingRequests.set(number, { resolve, isRepeatable: isRepeatable(request) })
        if (link.socket.send({ kind: 'run', number, request })) return
        link.pendingRequests.delete(number)
        resolve({ kind: 'outcome', outcome: refuseTooLarge(request) })
      })
      signal?.removeEventListener('abort', cancel)
      return failUnreadTransaction(request, result)
    },
    unresponsiveMs: () => unresponsiveSince === undefined ? 0 : performance.now() - unresponsiveSince,
    async acknowledgeForPreviousHome (database, term, position) {
      if (closed) return false
      current ??= connect()
      const link = await current
      if (link === undefined) return false
      return await new Promise((resolve) => {
        lastNumber += 1
        link.pendingAcknowledgements.set(lastNumber, resolve)
        link.socket.send({ kind: 'acknowledge', number: lastNumber, database, term, position })
      })
    },
    rollBack (database, transaction) {
      current?.then((link) => link?.socket.send({ kind: 'rollBack', database, transaction }), () => {})
    },
    close () {
      closed = true
      current?.then((link) => link?.socket.close(), () => {})
    },
  }
}

/**
 * A proxy that cannot read a request refuses it without knowing its transaction, which is open there and lacks the statement: it can then
 * only be rolled back.
 */
function failUnreadTransaction (request: StatementRequest, result: StatementLinkResult): StatementLinkResult {
  if (request.transaction === null || result.kind !== 'outcome' || result.outcome.reply.kind !== 'error') return result
  if (result.outcome.reply.reason !== NOT_HOME || hasPlainTexts(request)) return result
  return { kind: 'outcome', outcome: { ...result.outcome, state: 'failed' } }
}

function refuseTooLarge ({ transaction }: StatementRequest): StatementOutcome {
  return { reply: statementFailure('tooLarge', 'request_too_large'), state: transaction === null ? 'idle' : 'failed' }
}

/** True for a read outside a transaction, which may run twice. */
function isRepeatable ({ transaction, action }: StatementRequest): boolean {
  return transaction === null && (action.kind === 'query' || action.kind === 'execute') && action.access === 'read'
}
