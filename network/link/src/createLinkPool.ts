import net, { type Socket } from 'node:net'
import { type Address, formatAddress } from '@briarpick/types'
import { BriarpickError, toErrorData } from '@briarpick/error'
import { type HomeReply, type HomeRequest, type HomeSession, type ReplySink } from '@briarpick/home'
import { createFrameReader } from '@briarpick/pg-wire'
import { decodeReply, encodeCancel, encodeRequest, LinkCode, MAX_LINK_MESSAGE_BYTES, payloadOf } from './linkCodec.js'

/** A session on a remote home, over a link. */
export interface LinkSession extends HomeSession {
  readonly isOpen: () => boolean
}

/** Pool of links to the home of one database. */
export interface LinkPool {
  readonly address: Address
  /**
   * Returns an idle link or opens one. Rejects with ERR_BRIARPICK_OVERLOADED if `maxLinks` are in use, and with
   * ERR_BRIARPICK_NO_HOME if the home can't be reached.
   */
  acquire: () => Promise<LinkSession>
  /** Returns a link, which must have no open transaction, to the pool. */
  release: (session: LinkSession) => void
  /** Closes the idle links; a link in use is closed when it is released. */
  close: () => void
}

/** Options of a link pool. */
export interface LinkPoolOptions {
  readonly address: Address
  readonly database: string
  /** Maximum number of open links. */
  readonly maxLinks: number
  /** Maximum duration of a connection attempt, in ms. */
  readonly connectTimeoutMs: number
}

interface ActiveRequest {
  readonly sink: ReplySink
  readonly resolve: (reply: HomeReply) => void
  readonly isWrite: boolean
  /** Whether a part of the response was passed to the sink. */
  forwarded: boolean
}

/** Retry delay that errors suggest, in ms. */
const RETRY_AFTER_MS = 100

/** Creates an empty pool. */
export function createLinkPool (opts: LinkPoolOptions): LinkPool {
  const idle: LinkSession[] = []
  let open = 0
  let closed = false

  return {
    address: opts.address,
    async acquire () {
      for (let session = idle.pop(); session !== undefined; session = idle.pop()) {
        if (session.isOpen()) return session
      }
      if (open >= opts.maxLinks) throw tooManyLinks(opts)
      open += 1
      try {
        const socket = await connect(opts)
        socket.once('close', () => { open -= 1 })
        return createLinkSession(socket, opts.database)
      } catch (err) {
        open -= 1
        throw err
      }
    },
    release (session) {
      if (closed || !session.isOpen()) session.close()
      else idle.push(session)
    },
    close () {
      closed = true
      for (const session of idle) session.close()
      idle.length = 0
    },
  }
}

function connect (opts: LinkPoolOptions): Promise<Socket> {
  return new Promise((resolve, reject) => {
    const socket = net.connect(opts.address.port, opts.address.host)
    const fail = (reason: string) => {
      socket.destroy()
      reject(homeUnreachable(opts, reason))
    }
    const timer = setTimeout(() => fail('the connection attempt timed out'), opts.connectTimeoutMs)
    socket.once('error', (err) => {
      clearTimeout(timer)
      fail(err.message)
    })
    socket.once('connect', () => {
      clearTimeout(timer)
      socket.setNoDelay(true)
      resolve(socket)
    })
  })
}

/** Creates a session on a connected link. It owns the socket and runs one request at a time. */
function createLinkSession (socket: Socket, database: string): LinkSession {
  const reader = createFrameReader({ maxBytes: MAX_LINK_MESSAGE_BYTES })
  let active: ActiveRequest | undefined

  function resolveActive (reply: HomeReply): void {
    const request = active
    active = undefined
    request?.resolve(reply)
  }

  function receive (chunk: Buffer): void {
    for (const frame of reader.push(chunk)) {
      if (frame[0] === LinkCode.reply) resolveActive(decodeReply(frame))
      if (frame[0] === LinkCode.data && active !== undefined) forward(active, payloadOf(frame))
    }
  }

  function forward (request: ActiveRequest, bytes: Buffer): void {
    request.forwarded = true
    const drained = request.sink(bytes)
    if (drained === undefined) return
    socket.pause()
    drained.finally(() => socket.resume()).catch(() => socket.destroy())
  }

  socket.on('data', (chunk) => {
    try {
      receive(chunk)
    } catch {
      socket.destroy()
    }
  })
  socket.on('error', () => socket.destroy())
  socket.on('close', () => {
    if (active !== undefined) resolveActive({ kind: 'failed', status: 'I', error: toErrorData(linkLost(database, active)) })
  })

  return {
    isOpen: () => !socket.destroyed,
    run (request: HomeRequest, sink: ReplySink) {
      return new Promise((resolve) => {
        active = { sink, resolve, isWrite: request.access === 'write', forwarded: false }
        if (socket.destroyed) resolveActive({ kind: 'failed', status: 'I', error: toErrorData(linkLost(database, active)) })
        else socket.write(encodeRequest({ database, request }))
      })
    },
    cancel () {
      if (!socket.destroyed) socket.write(encodeCancel())
    },
    close: () => socket.destroy(),
  }
}

function linkLost (database: string, active: ActiveRequest): BriarpickError {
  if (!active.isWrite && !active.forwarded) {
    return new BriarpickError('ERR_BRIARPICK_RPC', `the link to the home of ${database} was lost`, {
      hint: 'the proxy retries reads; resend the read if this error is returned', retryAfterMs: RETRY_AFTER_MS,
    })
  }
  return new BriarpickError('ERR_BRIARPICK_OUTCOME_UNKNOWN', `the link to the home of ${database} was lost after the request was sent`, {
    hint: 'check whether the change was committed before resending it, or send writes with briarpick_key',
  })
}

function homeUnreachable (opts: LinkPoolOptions, reason: string): BriarpickError {
  return new BriarpickError('ERR_BRIARPICK_NO_HOME', `cannot reach the home of ${opts.database} at ${formatAddress(opts.address)}: ${reason}`, {
    hint: `nothing was executed; retry in ${RETRY_AFTER_MS} ms`, retryAfterMs: RETRY_AFTER_MS,
  })
}

function tooManyLinks (opts: LinkPoolOptions): BriarpickError {
  return new BriarpickError('ERR_BRIARPICK_OVERLOADED', `this proxy has all ${opts.maxLinks} links to the home of ${opts.database} in use`, {
    hint: `nothing was executed; retry in ${RETRY_AFTER_MS} ms`, retryAfterMs: RETRY_AFTER_MS,
  })
}
