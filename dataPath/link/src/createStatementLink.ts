import net from 'node:net'
import { type Address, type LogPosition, type StatementRequest } from '@briarpick/types'
import { type StatementOutcome } from '@briarpick/statement-home'
import { createStatementLinkSocket, type StatementLinkSocket } from './createStatementLinkSocket.js'
import { type StatementLinkMessage } from './statementLinkCodec.js'

/** What came of a request on a link. */
export type StatementLinkResult =
  | { readonly kind: 'outcome', readonly outcome: StatementOutcome }
  /** The request never left. */
  | { readonly kind: 'notSent' }
  /** The link was lost after the request had left. */
  | { readonly kind: 'lost' }

/** Requests to the homes of one proxy. Connects on first use and again after a loss. */
export interface StatementLink {
  run: (request: StatementRequest) => Promise<StatementLinkResult>
  /** True if the home there grants leave to acknowledge a commit. */
  acknowledgeForPreviousHome: (database: string, term: number, position: LogPosition) => Promise<boolean>
  rollBack: (database: string, transaction: string) => void
  close: () => void
}

const CONNECT_TIMEOUT_MS = 300
/** Time between two probes of a link in use, in ms. */
const PROBE_MS = 150
/** A link in use on which nothing comes for this long is silent, in ms: three probes. */
const SILENT_MS = 500
/** Time after a failed connect in which no other is tried, in ms: who asks meanwhile is refused at once. */
const RECONNECT_MS = 250

interface OpenLink {
  readonly socket: StatementLinkSocket
  readonly pending: Map<number, (result: StatementLinkResult) => void>
  readonly acknowledging: Map<number, (granted: boolean) => void>
  heardAt: number
}

/** Creates a link to an address. */
export function createStatementLink (opts: { readonly address: Address }): StatementLink {
  let current: Promise<OpenLink | undefined> | undefined
  let counter = 0
  let failedAt = -Infinity
  let closed = false

  function connect (): Promise<OpenLink | undefined> {
    return new Promise((resolve) => {
      const socket = net.connect(opts.address.port, opts.address.host)
      const pending: OpenLink['pending'] = new Map()
      const timer = setTimeout(() => socket.destroy(), CONNECT_TIMEOUT_MS)
      let probe: NodeJS.Timeout | undefined
      const link: OpenLink = {
        socket: createStatementLinkSocket(socket, (message) => {
          link.heardAt = performance.now()
          settle(link, message)
        }),
        pending,
        acknowledging: new Map(),
        heardAt: performance.now(),
      }
      socket.once('connect', () => {
        clearTimeout(timer)
        link.heardAt = performance.now()
        probe = setInterval(() => probeLink(link), PROBE_MS)
        resolve(link)
      })
      socket.once('close', () => {
        if (probe === undefined) failedAt = performance.now()
        clearTimeout(timer)
        clearInterval(probe)
        current = undefined
        resolve(undefined)
        for (const end of pending.values()) end({ kind: 'lost' })
        for (const end of link.acknowledging.values()) end(false)
        pending.clear()
      })
    })
  }

  function settle (link: OpenLink, message: StatementLinkMessage): void {
    if (message.kind === 'outcome') {
      link.pending.get(message.number)?.({ kind: 'outcome', outcome: message.outcome })
      link.pending.delete(message.number)
    } else if (message.kind === 'acknowledged') {
      link.acknowledging.get(message.number)?.(message.granted)
      link.acknowledging.delete(message.number)
    }
  }

  function probeLink (link: OpenLink): void {
    if (link.pending.size + link.acknowledging.size === 0) {
      link.heardAt = performance.now()
      return
    }
    if (performance.now() - link.heardAt > SILENT_MS) link.socket.close()
    else link.socket.send({ kind: 'ping' })
  }

  return {
    async run (request) {
      if (closed || (current === undefined && performance.now() - failedAt < RECONNECT_MS)) return { kind: 'notSent' }
      current ??= connect()
      const link = await current
      if (link === undefined) return { kind: 'notSent' }
      return await new Promise((resolve) => {
        counter += 1
        link.pending.set(counter, resolve)
        link.socket.send({ kind: 'run', number: counter, request })
      })
    },
    async acknowledgeForPreviousHome (database, term, position) {
      if (closed) return false
      current ??= connect()
      const link = await current
      if (link === undefined) return false
      return await new Promise((resolve) => {
        counter += 1
        link.acknowledging.set(counter, resolve)
        link.socket.send({ kind: 'acknowledge', number: counter, database, term, position })
      })
    },
    rollBack (database, transaction) {
      current?.then((link) => link?.socket.send({ kind: 'forget', database, transaction }), () => {})
    },
    close () {
      closed = true
      current?.then((link) => link?.socket.close(), () => {})
    },
  }
}
