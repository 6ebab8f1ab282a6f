import net, { type Socket } from 'node:net'
import { type Address, formatAddress } from '@briarpick/types'
import { BriarpickError, toErrorData } from '@briarpick/error'
import { type HomeReply, type HomeRequest, type HomeSession, type ReplySink } from '@briarpick/home'
import { createFrameReader } from '@briarpick/pg-wire'
import { decodeReply, encodeCancel, encodeRun, LinkCode, MAX_LINK_MESSAGE_BYTES, payloadOf } from './linkCodec.js'

/** A home session over a link. */
export interface LinkSession extends HomeSession {
  readonly isOpen: () => boolean
}

/** Links to one home for one database. */
export interface LinkPool {
  readonly address: Address
  /** An idle link, or a new one; rejects if the home can't be reached or has too many links. */
  acquire: () => Promise<LinkSession>
  /** Gives back a link without an open transaction. */
  release: (session: LinkSession) => void
  close: () => void
}

/** Options of a link pool. */
export interface LinkPoolOptions {
  readonly address: Address
  readonly database: string
  readonly maxLinks: number
  readonly connectTimeoutMs: number
}

interface Running {
  readonly sink: ReplySink
  readonly resolve: (reply: HomeReply) => void
  readonly isWrite: boolean
  passed: boolean
}

const RETRY_AFTER_MS = 100

/** Creates a pool without links. */
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
    const timer = setTimeout(() => fail('no answer to the connect'), opts.connectTimeoutMs)
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

/** Runs requests over a connected link; the session owns the socket. */
function createLinkSession (socket: Socket, database: string): LinkSession {
  const reader = createFrameReader({ maxBytes: MAX_LINK_MESSAGE_BYTES })
  let running: Running | undefined

  function settle (reply: HomeReply): void {
    const current = running
    running = undefined
    current?.resolve(reply)
  }

  function receive (chunk: Buffer): void {
    for (const frame of reader.push(chunk)) {
      if (frame[0] === LinkCode.reply) settle(decodeReply(frame))
      if (frame[0] === LinkCode.data && running !== undefined) pass(running, payloadOf(frame))
    }
  }

  function pass (current: Running, bytes: Buffer): void {
    current.passed = true
    const wait = current.sink(bytes)
    if (wait === undefined) return
    socket.pause()
    wait.finally(() => socket.resume()).catch(() => socket.destroy())
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
    if (running !== undefined) settle({ kind: 'failed', status: 'I', error: toErrorData(linkLost(database, running)) })
  })

  return {
    isOpen: () => !socket.destroyed,
    run (request: HomeRequest, sink: ReplySink) {
      return new Promise((resolve) => {
        running = { sink, resolve, isWrite: request.access === 'write', passed: false }
        if (socket.destroyed) settle({ kind: 'failed', status: 'I', error: toErrorData(linkLost(database, running)) })
        else socket.write(encodeRun({ database, request }))
      })
    },
    cancel () {
      if (!socket.destroyed) socket.write(encodeCancel())
    },
    close: () => socket.destroy(),
  }
}

function linkLost (database: string, running: Running): BriarpickError {
  if (!running.isWrite && !running.passed) {
    return new BriarpickError('ERR_BRIARPICK_RPC', `the link to the home of ${database} was lost`, {
      hint: 'reads are tried again by the proxy; send it again if you see this', retryAfterMs: RETRY_AFTER_MS,
    })
  }
  return new BriarpickError('ERR_BRIARPICK_OUTCOME_UNKNOWN', `the link to the home of ${database} was lost after the request was sent`, {
    hint: 'look the change up before sending it again, or send writes with briarpick_key',
  })
}

function homeUnreachable (opts: LinkPoolOptions, reason: string): BriarpickError {
  return new BriarpickError('ERR_BRIARPICK_NO_HOME', `cannot reach the home of ${opts.database} at ${formatAddress(opts.address)}: ${reason}`, {
    hint: `nothing ran; try again in ${RETRY_AFTER_MS} ms`, retryAfterMs: RETRY_AFTER_MS,
  })
}

function tooManyLinks (opts: LinkPoolOptions): BriarpickError {
  return new BriarpickError('ERR_BRIARPICK_OVERLOADED', `this proxy has ${opts.maxLinks} requests at work on ${opts.database}`, {
    hint: `nothing ran; try again in ${RETRY_AFTER_MS} ms`, retryAfterMs: RETRY_AFTER_MS,
  })
}
