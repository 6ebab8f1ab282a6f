import net, { type Socket } from 'node:net'
import { listenOn } from '@briarpick/tcp'
import { type Address } from '@briarpick/types'
import { toErrorData } from '@briarpick/error'
import { type Home, type HomeReply, type HomeSession, notHome } from '@briarpick/home'
import { createCorkedWriter, createFrameReader, type Frame } from '@briarpick/pg-wire'
import { type Service } from '@briarpick/kernel'
import { decodeRequest, encodeData, encodeReply, LinkCode, MAX_LINK_MESSAGE_BYTES } from './linkCodec.js'

/** Options of a link server. */
export interface LinkServerOptions {
  readonly listen: Address
  /** Returns the home of a database if it is on this proxy. */
  readonly homeOf: (database: string) => Home | undefined
}

/** Runs the requests of other proxies on the homes of this proxy. */
export interface LinkServer extends Service {
  readonly address: Address
}

/** Starts a server that accepts links. Rejects if it cannot bind to the address. */
export async function createLinkServer (opts: LinkServerOptions): Promise<LinkServer> {
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

/** Serves a link. It has one session at a time, which is replaced when the home of the requested database changes. */
function serveLink (socket: Socket, opts: LinkServerOptions): void {
  const reader = createFrameReader({ maxBytes: MAX_LINK_MESSAGE_BYTES })
  const write = createCorkedWriter(socket)
  let session: HomeSession | undefined
  let home: Home | undefined

  function sessionFor (database: string): HomeSession | undefined {
    const current = opts.homeOf(database)
    if (current !== home) {
      session?.close()
      home = current
      session = current?.createSession()
    }
    return session
  }

  async function run (frame: Frame): Promise<void> {
    const { database, request } = decodeRequest(frame)
    const requestSession = sessionFor(database)
    const reply: HomeReply = requestSession === undefined
      ? { kind: 'failed', status: 'I', error: toErrorData(notHome(database)) }
      : await requestSession.run(request, sendData)
    if (!socket.destroyed) write(encodeReply(reply))
  }

  function sendData (bytes: Buffer): Promise<void> | undefined {
    if (socket.destroyed || write(encodeData(bytes))) return undefined
    return new Promise((resolve) => {
      socket.once('drain', resolve)
      socket.once('close', () => resolve())
    })
  }

  const handlers: Readonly<Record<number, (frame: Frame) => Promise<void> | undefined>> = {
    [LinkCode.run]: run,
    [LinkCode.cancel]: () => {
      session?.cancel()
      return undefined
    },
  }

  socket.setNoDelay(true)
  socket.on('error', () => socket.destroy())
  socket.on('close', () => session?.close())
  socket.on('data', (chunk) => {
    try {
      for (const frame of reader.push(chunk)) handlers[frame[0]]?.(frame)?.catch(() => socket.destroy())
    } catch {
      socket.destroy()
    }
  })
}
