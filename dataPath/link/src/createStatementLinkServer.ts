import net, { type Socket } from 'node:net'
import { listenOn } from '@briarpick/tcp'
import { type Address, statementFailure, type StatementReply, type StatementRequest } from '@briarpick/types'
import { type Service } from '@briarpick/kernel'
import { createLogger } from '@briarpick/logs'
import { type StatementHome, type StatementOutcome } from '@briarpick/statement-home'
import { createStatementLinkSocket, type StatementLinkSocket } from './createStatementLinkSocket.js'
import { type StatementLinkMessage } from './statementLinkCodec.js'

/** Options of a statement link server. */
export interface StatementLinkServerOptions {
  readonly listen: Address
  /** The home of a database on this proxy, or the previous home if it still runs the transaction. */
  readonly homeOf: (database: string, transaction: string | null) => StatementHome | undefined
}

/** Runs the statements of other proxies on the homes of this proxy. */
export interface StatementLinkServer extends Service {
  readonly address: Address
}

/** Reason of a proxy's refusal of a request for a database whose home it is not. */
export const NOT_HOME = 'not_home'

const log = createLogger('link')

/** Starts a server that accepts links. Rejects if it cannot bind to the address. */
export async function createStatementLinkServer (opts: StatementLinkServerOptions): Promise<StatementLinkServer> {
  const sockets = new Set<Socket>()
  const server = net.createServer((socket) => {
    sockets.add(socket)
    socket.on('close', () => sockets.delete(socket))
    serveLink(socket, opts)
  })
  const address = await listenOn(server, opts.listen)
  return {
    address,
    async close () {
      const closed = new Promise((resolve) => server.close(resolve))
      for (const socket of sockets) socket.destroy()
      await closed
    },
  }
}

/** Serves a link. Transactions that are still open when the link closes are rolled back. */
function serveLink (socket: Socket, { homeOf }: StatementLinkServerOptions): void {
  const transactions = new Map<string, string>()
  /** Pending requests that may be given up while they wait. */
  const waiting = new Map<number, AbortController>()

  async function run (number: number, request: StatementRequest): Promise<void> {
    const { database, transaction } = request
    if (transaction !== null) transactions.set(transaction, database)
    const outcome = await runCancellable(number, request)
    if (transaction !== null && outcome.state === 'idle') transactions.delete(transaction)
    if (transaction !== null && socket.destroyed) homeOf(database, transaction)?.rollBack(transaction)
    if (link.send({ kind: 'outcome', number, outcome })) return
    log('outcomeTooLarge', { id: request.id, database })
    link.send({ kind: 'outcome', number, outcome: { ...outcome, reply: withoutContent(request, outcome.reply) } })
  }

  /** Answers a request whose processing failed unexpectedly, possibly after it was sent, and rolls its transaction back. */
  function answerFailure (number: number, { id, database, transaction }: StatementRequest, err: unknown): void {
    log('requestFailed', { id, database, reason: String(err) })
    if (transaction !== null) {
      transactions.delete(transaction)
      homeOf(database, transaction)?.rollBack(transaction)
    }
    const state = transaction === null ? 'idle' : 'failed'
    link.send({ kind: 'outcome', number, outcome: { reply: statementFailure('outcomeUnknown', 'internal_error'), state } })
  }

  async function runCancellable (number: number, request: StatementRequest): Promise<StatementOutcome> {
    const controller = new AbortController()
    waiting.set(number, controller)
    try {
      return await runOnLocalHome(homeOf(request.database, request.transaction), request, controller.signal)
    } finally {
      waiting.delete(number)
    }
  }

  const handlers: { readonly [K in StatementLinkMessage['kind']]: (message: Extract<StatementLinkMessage, { kind: K }>) => void } = {
    run ({ number, request }) {
      run(number, request).catch((err) => answerFailure(number, request, err))
    },
    rollBack ({ database, transaction }) {
      transactions.delete(transaction)
      homeOf(database, transaction)?.rollBack(transaction)
    },
    acknowledge ({ number, database, term, position }) {
      const granted = homeOf(database, null)?.acknowledgeForPreviousHome(term, position) ?? false
      link.send({ kind: 'acknowledged', number, granted })
    },
    cancel: ({ number }) => waiting.get(number)?.abort(),
    acknowledged: () => {},
    ping: () => link.send({ kind: 'pong' }),
    pong: () => {},
    outcome: () => {},
  }

  const link: StatementLinkSocket = createStatementLinkSocket(socket, (message) => {
    const handle = handlers[message.kind] as (message: StatementLinkMessage) => void
    handle(message)
  })
  socket.on('close', () => {
    for (const controller of waiting.values()) controller.abort()
    for (const [transaction, database] of transactions) homeOf(database, transaction)?.rollBack(transaction)
  })
}

/** Reply in place of one that is too large for the link: it says what is known of the statement. */
function withoutContent ({ action }: StatementRequest, reply: StatementReply): StatementReply {
  if (reply.kind === 'error') return { ...reply, text: reply.reason }
  const isRead = (action.kind === 'query' || action.kind === 'execute') && action.access === 'read'
  return statementFailure(isRead ? 'failed' : 'outcomeUnknown', 'reply_too_large')
}

/** Runs a request on a home of this proxy; fails with reason `not_home` if there is none. */
export async function runOnLocalHome (
  home: StatementHome | undefined, request: StatementRequest, signal?: AbortSignal
): Promise<StatementOutcome> {
  if (home !== undefined) return await home.run(request, signal)
  return { reply: statementFailure('aborted', NOT_HOME), state: request.transaction === null ? 'idle' : 'failed' }
}
