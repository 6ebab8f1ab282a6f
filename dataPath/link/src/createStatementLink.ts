import net from 'node:net'
import { type Address, type LogPosition, type StatementRequest } from '@briarpick/types'
import { type StatementOutcome } from '@briarpick/statement-home'
import { createStatementLinkSocket, type StatementLinkSocket } from './createStatementLinkSocket.js'
import { type StatementLinkMessage } from './statementLinkCodec.js'

/** Result of a request on a link. */
export type StatementLinkResult =
  | { readonly kind: 'outcome', readonly outcome: StatementOutcome }
  /** No connection could be opened, so the request did not run. */
  | { readonly kind: 'notSent' }
  /** The connection was lost after the request was sent, so the request may have run. */
  | { readonly kind: 'lost' }

/** Link to the homes of one proxy. Connects on first use, and reconnects on the first use after the connection is lost. */
export interface StatementLink {
  run: (request: StatementRequest) => Promise<StatementLinkResult>
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
const PROBE_INTERVAL_MS = 150
/** Time without a message after which a link with pending requests is closed, in ms: enough for three probes. */
const PROBE_TIMEOUT_MS = 500
/** Time after a failed connection attempt during which requests fail at once with `notSent`, in ms. */
const RECONNECT_BACKOFF_MS = 250

interface OpenLink {
  readonly socket: StatementLinkSocket
  readonly pendingRequests: Map<number, (result: StatementLinkResult) => void>
  readonly pendingAcknowledgements: Map<number, (granted: boolean) => void>
  lastReceivedAt: number
}

/** Creates a link to the statement link server at an address, without connecting. */
export function createStatementLink (opts: { readonly address: Address }): StatementLink {
  let current: Promise<OpenLink | undefined> | undefined
  let lastNumber = 0
  let connectFailedAt = -Infinity
  let closed = false

  function connect (): Promise<OpenLink | undefined> {
    return new Promise((resolve) => {
      const socket = net.connect(opts.address.port, opts.address.host)
      const pendingRequests: OpenLink['pendingRequests'] = new Map()
      const timer = setTimeout(() => socket.destroy(), CONNECT_TIMEOUT_MS)
      let probeTimer: NodeJS.Timeout | undefined
      const link: OpenLink = {
        socket: createStatementLinkSocket(socket, (message) => {
          link.lastReceivedAt = performance.now()
          settle(link, message)
        }),
        pendingRequests,
        pendingAcknowledgements: new Map(),
        lastReceivedAt: performance.now(),
      }
      socket.once('connect', () => {
        clearTimeout(timer)
        link.lastReceivedAt = performance.now()
        probeTimer = setInterval(() => probeLink(link), PROBE_INTERVAL_MS)
        resolve(link)
      })
      socket.once('close', () => {
        if (probeTimer === undefined) connectFailedAt = performance.now()
        clearTimeout(timer)
        clearInterval(probeTimer)
        current = undefined
        resolve(undefined)
        for (const resolvePending of pendingRequests.values()) resolvePending({ kind: 'lost' })
        for (const resolvePending of link.pendingAcknowledgements.values()) resolvePending(false)
        pendingRequests.clear()
      })
    })
  }

  function settle (link: OpenLink, message: StatementLinkMessage): void {
    if (message.kind === 'outcome') {
      link.pendingRequests.get(message.number)?.({ kind: 'outcome', outcome: message.outcome })
      link.pendingRequests.delete(message.number)
    } else if (message.kind === 'acknowledged') {
      link.pendingAcknowledgements.get(message.number)?.(message.granted)
      link.pendingAcknowledgements.delete(message.number)
    }
  }

  function probeLink (link: OpenLink): void {
    if (link.pendingRequests.size + link.pendingAcknowledgements.size === 0) {
      link.lastReceivedAt = performance.now()
      return
    }
    if (performance.now() - link.lastReceivedAt > PROBE_TIMEOUT_MS) link.socket.close()
    else link.socket.send({ kind: 'ping' })
  }

  return {
    async run (request) {
      if (closed || (current === undefined && performance.now() - connectFailedAt < RECONNECT_BACKOFF_MS)) return { kind: 'notSent' }
      current ??= connect()
      const link = await current
      if (link === undefined) return { kind: 'notSent' }
      return await new Promise((resolve) => {
        lastNumber += 1
        link.pendingRequests.set(lastNumber, resolve)
        link.socket.send({ kind: 'run', number: lastNumber, request })
      })
    },
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
