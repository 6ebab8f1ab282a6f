import { type Socket } from 'node:net'
import tls from 'node:tls'
import { createScramSha256Data, type PostgresConnectionOptions } from 'pg-gateway'
import { BackendCode, writeErrorFields } from '@briarpick/pg-wire'
import { type BackendKey, StartupConnection, type StartupResponse } from './startupConnection.js'

/** Parameters of a StartupMessage by name. */
export type StartupParameters = Readonly<Record<string, string>>

/** A caller that completed the start-up and was authenticated. The socket is paused. */
export interface AcceptedCaller {
  readonly socket: Socket
  readonly parameters: StartupParameters
  /** Bytes received after the last start-up message, before the start-up was complete. */
  readonly pipelinedBytes: Buffer
}

/** Options of `acceptCaller`. */
export interface AcceptCallerOptions {
  readonly startupResponse: StartupResponse
  /** TLS key and certificate; requests for TLS are declined if absent. */
  readonly secureContext?: tls.SecureContext
  /** Whether callers without TLS are rejected. */
  readonly requireTls?: boolean
  /** Passwords by user; no authentication if absent. */
  readonly passwords?: Readonly<Record<string, string>>
  /** Called for a CancelRequest, which comes on a connection of its own. */
  readonly onCancel: (key: BackendKey) => void
  /** Maximum duration of the start-up, in ms. */
  readonly timeoutMs?: number
}

/** Request codes sent in place of the protocol version in the first message of a connection. */
const SSL_REQUEST = 80877103
const GSS_REQUEST = 80877104
const CANCEL_REQUEST = 80877102
const MAX_STARTUP_BYTES = 64 * 1024
const DEFAULT_STARTUP_TIMEOUT_MS = 10_000

/**
 * Performs TLS negotiation, start-up and authentication of a new connection, and closes it if they exceed the timeout. Resolves
 * to undefined if the caller disconnected, sent a CancelRequest or was rejected.
 */
export async function acceptCaller (plainSocket: Socket, opts: AcceptCallerOptions): Promise<AcceptedCaller | undefined> {
  let socket = plainSocket
  const timer = setTimeout(() => plainSocket.destroy(), opts.timeoutMs ?? DEFAULT_STARTUP_TIMEOUT_MS)
  plainSocket.on('error', () => plainSocket.destroy())
  try {
    for (;;) {
      const first = await readChunk(socket)
      if (first === undefined || first.length < 8) return drop(socket)
      const code = first.readInt32BE(4)
      if (code === CANCEL_REQUEST) return cancel(socket, first, opts)
      if (code === GSS_REQUEST || (code === SSL_REQUEST && opts.secureContext === undefined)) {
        socket.write('N')
      } else if (code === SSL_REQUEST && opts.secureContext !== undefined) {
        socket = await upgradeToTls(plainSocket, opts.secureContext)
      } else if (opts.requireTls === true && socket === plainSocket) {
        return rejectCaller(socket, '28000', 'TLS is required', 'connect with sslmode=require')
      } else {
        return await authenticate(socket, first, opts)
      }
    }
  } catch {
    return drop(socket)
  } finally {
    clearTimeout(timer)
  }
}

function readChunk (socket: Socket): Promise<Buffer | undefined> {
  return new Promise((resolve) => {
    const done = (chunk?: Buffer) => {
      socket.off('data', done)
      socket.off('close', onClose)
      socket.pause()
      resolve(chunk)
    }
    const onClose = () => done()
    socket.on('data', done)
    socket.on('close', onClose)
    socket.resume()
  })
}

function upgradeToTls (plainSocket: Socket, secureContext: tls.SecureContext): Promise<Socket> {
  return new Promise((resolve, reject) => {
    plainSocket.write('S')
    const tlsSocket = new tls.TLSSocket(plainSocket, { isServer: true, secureContext })
    tlsSocket.once('secure', () => resolve(tlsSocket))
    tlsSocket.once('error', reject)
    tlsSocket.on('error', () => tlsSocket.destroy())
  })
}

function cancel (socket: Socket, message: Buffer, opts: AcceptCallerOptions): undefined {
  if (message.length >= 16) opts.onCancel({ processId: message.readInt32BE(8), secret: message.readInt32BE(12) })
  socket.end()
}

function drop (socket: Socket): undefined {
  socket.destroy()
}

function rejectCaller (socket: Socket, sqlState: string, message: string, hint: string): undefined {
  socket.end(writeErrorFields({ sqlState, message, hint, severity: 'FATAL' }))
}

function authOptions (opts: AcceptCallerOptions): PostgresConnectionOptions['auth'] {
  const { passwords } = opts
  if (passwords === undefined) return { method: 'trust' }
  return {
    method: 'scram-sha-256',
    async getScramSha256Data ({ username }) {
      const password = Object.hasOwn(passwords, username) ? passwords[username] : crypto.randomUUID()
      return await createScramSha256Data(password)
    },
  }
}

/** Passes the bytes to pg-gateway until it writes ReadyForQuery; after that the socket is paused and has no data listeners. */
function authenticate (socket: Socket, first: Buffer, opts: AcceptCallerOptions): Promise<AcceptedCaller | undefined> {
  return new Promise((resolve) => {
    const pipelined: Buffer[] = []
    let receivedBytes = 0
    let inputController: ReadableStreamDefaultController<Uint8Array>
    const readable = new ReadableStream<Uint8Array>({ start (controller) { inputController = controller } })
    const writable = new WritableStream<Uint8Array>({
      write (chunk) {
        if (chunk.length > 0) socket.write(chunk)
        if (chunk[0] === BackendCode.readyForQuery) finish()
      },
      close: () => { socket.end() },
      abort: () => { socket.destroy() },
    })
    const connection = new StartupConnection({ readable, writable }, opts.startupResponse, {
      auth: authOptions(opts),
      onMessage (data, state) {
        if (!state.isAuthenticated) return undefined
        pipelined.push(Buffer.from(data))
        return new Uint8Array(0)
      },
    })

    function feed (chunk: Buffer): void {
      receivedBytes += chunk.length
      if (receivedBytes > MAX_STARTUP_BYTES) socket.destroy()
      else inputController.enqueue(new Uint8Array(chunk))
    }

    function onClose (): void {
      resolve(undefined)
    }

    function finish (): void {
      socket.off('data', feed)
      socket.off('close', onClose)
      socket.pause()
      connection.detach().catch(() => {})
      resolve({ socket, parameters: connection.clientParams ?? {}, pipelinedBytes: Buffer.concat(pipelined) })
    }

    socket.on('close', onClose)
    socket.on('data', feed)
    socket.setNoDelay(true)
    feed(first)
    socket.resume()
  })
}
