import { type Socket } from 'node:net'
import tls from 'node:tls'
import { createScramSha256Data, type PostgresConnectionOptions } from 'pg-gateway'
import { BackendCode, writeErrorFields } from '@briarpick/pg-wire'
import { type BackendKey, type StartupResponse, StartupConnection } from './startupConnection.js'

/** Start-up parameters of a caller. */
export type StartupParameters = Readonly<Record<string, string>>

/** A caller that passed start-up and password check. */
export interface AcceptedCaller {
  readonly socket: Socket
  readonly parameters: StartupParameters
  /** Bytes that came after the start-up already. */
  readonly pipelinedBytes: Buffer
}

/** Options of an accepted caller. */
export interface AcceptCallerOptions {
  readonly startupResponse: StartupResponse
  /** Present if callers may use TLS. */
  readonly secureContext?: tls.SecureContext
  /** True if callers must use TLS. */
  readonly requireTls?: boolean
  /** Passwords by user; no check if absent. */
  readonly passwords?: Readonly<Record<string, string>>
  readonly onCancel: (key: BackendKey) => void
  readonly timeoutMs?: number
}

const SSL_REQUEST = 80877103
const GSS_REQUEST = 80877104
const CANCEL_REQUEST = 80877102
const MAX_STARTUP_BYTES = 64 * 1024
const STARTUP_TIMEOUT_MS = 10_000

/** Takes a caller through TLS, start-up and password check; undefined if it left, cancelled or failed. */
export async function acceptCaller (raw: Socket, opts: AcceptCallerOptions): Promise<AcceptedCaller | undefined> {
  let socket = raw
  const timer = setTimeout(() => raw.destroy(), opts.timeoutMs ?? STARTUP_TIMEOUT_MS)
  raw.on('error', () => raw.destroy())
  try {
    for (;;) {
      const first = await readChunk(socket)
      if (first === undefined || first.length < 8) return drop(socket)
      const code = first.readInt32BE(4)
      if (code === CANCEL_REQUEST) return cancel(socket, first, opts)
      if (code === GSS_REQUEST || (code === SSL_REQUEST && opts.secureContext === undefined)) {
        socket.write('N')
      } else if (code === SSL_REQUEST && opts.secureContext !== undefined) {
        socket = await upgrade(raw, opts.secureContext)
      } else if (opts.requireTls === true && socket === raw) {
        return refuse(socket, '28000', 'TLS is required', 'connect with sslmode=require')
      } else {
        return await startUp(socket, first, opts)
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

function upgrade (raw: Socket, secureContext: tls.SecureContext): Promise<Socket> {
  return new Promise((resolve, reject) => {
    raw.write('S')
    const secure = new tls.TLSSocket(raw, { isServer: true, secureContext })
    secure.once('secure', () => resolve(secure))
    secure.once('error', reject)
    secure.on('error', () => secure.destroy())
  })
}

function cancel (socket: Socket, message: Buffer, opts: AcceptCallerOptions): undefined {
  if (message.length >= 16) opts.onCancel({ processId: message.readInt32BE(8), secret: message.readInt32BE(12) })
  socket.end()
}

function drop (socket: Socket): undefined {
  socket.destroy()
}

function refuse (socket: Socket, sqlState: string, message: string, hint: string): undefined {
  socket.end(writeErrorFields({ sqlState, message, hint, severity: 'FATAL' }))
}

function authOptions (opts: AcceptCallerOptions): PostgresConnectionOptions['auth'] {
  const { passwords } = opts
  if (passwords === undefined) return { method: 'trust' }
  return {
    method: 'scram-sha-256',
    getScramSha256Data: async ({ username }) => await createScramSha256Data(passwords[username] ?? crypto.randomUUID()),
  }
}

/** Feeds the library until it says ReadyForQuery; the socket is paused and without listeners after that. */
function startUp (socket: Socket, first: Buffer, opts: AcceptCallerOptions): Promise<AcceptedCaller | undefined> {
  return new Promise((resolve) => {
    const early: Buffer[] = []
    let fed = 0
    let input: ReadableStreamDefaultController<Uint8Array>
    const readable = new ReadableStream<Uint8Array>({ start (controller) { input = controller } })
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
        early.push(Buffer.from(data))
        return new Uint8Array(0)
      },
    })

    function feed (chunk: Buffer): void {
      fed += chunk.length
      if (fed > MAX_STARTUP_BYTES) socket.destroy()
      else input.enqueue(new Uint8Array(chunk))
    }

    function onClose (): void {
      resolve(undefined)
    }

    function finish (): void {
      socket.off('data', feed)
      socket.off('close', onClose)
      socket.pause()
      connection.detach().catch(() => {})
      resolve({ socket, parameters: connection.clientParams ?? {}, pipelinedBytes: Buffer.concat(early) })
    }

    socket.on('close', onClose)
    socket.on('data', feed)
    socket.setNoDelay(true)
    feed(first)
    socket.resume()
  })
}
