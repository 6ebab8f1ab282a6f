import net, { type Socket } from 'node:net'
import pg from 'pg'
import { type Address, formatAddress } from '@briarpick/types'
import { BriarpickError } from '@briarpick/error'
import {
  BackendCode,
  createFrameReader,
  type Frame,
  FrontendCode,
  isReadyForQuery,
  readDataRow,
  readErrorSummary,
  writeEmptyMessage,
  writeQuery,
} from '@briarpick/pg-wire'

/** Receives the messages of a response. Reading from the target pauses until a returned promise resolves. */
export type FrameSink = (frames: readonly Frame[]) => Promise<void> | undefined | void

/** Options of a connection to a target. */
export interface ConnectTargetOptions {
  readonly address: Address
  readonly user: string
  readonly password?: string
  readonly database: string
  /** Whether to use TLS; the certificate is not verified. */
  readonly tls?: boolean
  /** Maximum duration of connecting and authenticating, in ms. */
  readonly timeoutMs: number
}

/** A connection to a target. It owns the socket and runs one exchange at a time. */
export interface TargetConnection {
  /**
   * Sends messages that contain `readyCount` Query or Sync messages and passes the response to the sink, up to the last
   * ReadyForQuery. Rejects with ERR_BRIARPICK_TARGET_UNREACHABLE if the connection is closed, and with
   * ERR_BRIARPICK_OUTCOME_UNKNOWN if it is lost before the response is complete.
   */
  exchange: (bytes: Buffer, readyCount: number, sink: FrameSink) => Promise<void>
  /**
   * Runs a query of the simple protocol and returns its rows in text format. Rejects with ERR_BRIARPICK_RPC_TIMEOUT, after
   * closing the connection, if the response takes longer than `timeoutMs`, with ERR_BRIARPICK_TARGET_UNREACHABLE if the target
   * returns an error, and otherwise as `exchange` does.
   */
  query: (text: string, timeoutMs: number) => Promise<ReadonlyArray<ReadonlyArray<string | null>>>
  /** Sends a CancelRequest for the running statement, over a connection of its own. */
  cancel: () => void
  isOpen: () => boolean
  onClose: (listener: () => void) => void
  /** Sends Terminate and closes the connection; if an exchange is running, closes at once, which rejects the exchange. */
  close: () => void
}

/** Maximum length of a message from a target, in bytes. */
const MAX_MESSAGE_BYTES = 256 * 1024 * 1024
const CANCEL_REQUEST_CODE = 80877102

interface Exchange {
  readonly sink: FrameSink
  readonly resolve: () => void
  readonly reject: (err: BriarpickError) => void
  remainingReady: number
}

type PgClient = pg.Client & {
  readonly connection: { readonly stream: Socket }
  readonly processID: number
  readonly secretKey: number
}

/**
 * Connects to a target. The pg client performs start-up and authentication, after which the connection takes over its socket.
 * Rejects with ERR_BRIARPICK_TARGET_UNREACHABLE.
 */
export async function connectTarget (opts: ConnectTargetOptions): Promise<TargetConnection> {
  const client = new pg.Client({
    host: opts.address.host,
    port: opts.address.port,
    user: opts.user,
    password: opts.password,
    database: opts.database,
    ssl: opts.tls === true ? { rejectUnauthorized: false } : false,
    connectionTimeoutMillis: opts.timeoutMs,
  }) as PgClient
  client.on('error', () => {})
  try {
    await client.connect()
  } catch (err) {
    client.connection.stream.destroy()
    throw unreachable(opts.address, err)
  }
  return createTargetConnection(client, opts)
}

function createTargetConnection (client: PgClient, opts: ConnectTargetOptions): TargetConnection {
  const socket = client.connection.stream
  const reader = createFrameReader({ maxBytes: MAX_MESSAGE_BYTES })
  const closeListeners: Array<() => void> = []
  let current: Exchange | undefined
  let open = true
  socket.removeAllListeners('data')
  socket.setNoDelay(true)
  socket.on('data', receive)
  socket.on('error', () => socket.destroy())
  socket.on('close', handleClose)

  function handleClose (): void {
    if (!open) return
    open = false
    const exchange = current
    current = undefined
    exchange?.reject(connectionLost(opts.address))
    for (const listener of closeListeners) listener()
  }

  function receive (chunk: Buffer): void {
    let frames
    try {
      frames = reader.push(chunk)
    } catch {
      socket.destroy()
      return
    }
    if (current === undefined || frames.length === 0) return
    const exchange = current
    const drained = exchange.sink(frames)
    for (const frame of frames) {
      if (isReadyForQuery(frame)) exchange.remainingReady -= 1
    }
    if (exchange.remainingReady <= 0) current = undefined
    if (drained !== undefined) pauseUntil(drained)
    if (exchange.remainingReady <= 0) exchange.resolve()
  }

  function pauseUntil (drained: Promise<void>): void {
    socket.pause()
    drained.finally(() => socket.resume()).catch(() => socket.destroy())
  }

  const connection: TargetConnection = {
    exchange (bytes, readyCount, sink) {
      return new Promise((resolve, reject) => {
        if (!open) {
          reject(unreachable(opts.address, new Error('the connection is closed')))
          return
        }
        current = { sink, resolve, reject, remainingReady: readyCount }
        socket.write(bytes)
      })
    },
    async query (text, timeoutMs) {
      const rows: Array<ReadonlyArray<string | null>> = []
      let errorMessage: string | undefined
      let timedOut = false
      const timer = setTimeout(() => {
        timedOut = true
        socket.destroy()
      }, timeoutMs)
      try {
        await connection.exchange(writeQuery(text), 1, (frames) => {
          for (const frame of frames) {
            if (frame[0] === BackendCode.dataRow) rows.push(readDataRow(frame))
            if (frame[0] === BackendCode.error) errorMessage = readErrorSummary(frame).message
          }
        })
      } catch (err) {
        throw timedOut ? queryTimedOut(opts.address, timeoutMs) : err
      } finally {
        clearTimeout(timer)
      }
      if (errorMessage !== undefined) throw queryFailed(opts.address, errorMessage)
      return rows
    },
    cancel () {
      sendCancel(client, opts.address)
    },
    isOpen: () => open,
    onClose: (listener) => { closeListeners.push(listener) },
    close () {
      if (current !== undefined) {
        socket.destroy()
        return
      }
      socket.end(writeEmptyMessage(FrontendCode.terminate))
      socket.destroySoon()
    },
  }
  return connection
}

function sendCancel (client: PgClient, address: Address): void {
  const request = Buffer.alloc(16)
  request.writeInt32BE(request.length, 0)
  request.writeInt32BE(CANCEL_REQUEST_CODE, 4)
  request.writeInt32BE(client.processID, 8)
  request.writeInt32BE(client.secretKey, 12)
  const socket = net.connect(address.port, address.host, () => socket.end(request))
  socket.on('error', () => socket.destroy())
}

function unreachable (address: Address, err: unknown): BriarpickError {
  const reason = err instanceof Error ? err.message : String(err)
  return new BriarpickError('ERR_BRIARPICK_TARGET_UNREACHABLE', `cannot reach target ${formatAddress(address)}: ${reason}`, {
    hint: 'check that the target is running and reachable from this VM',
    cause: err,
  })
}

function connectionLost (address: Address): BriarpickError {
  return new BriarpickError('ERR_BRIARPICK_OUTCOME_UNKNOWN', `the connection to target ${formatAddress(address)} was lost after the request was sent`, {
    hint: 'check whether the change was committed before resending it, or send writes with briarpick_key',
  })
}

function queryTimedOut (address: Address, timeoutMs: number): BriarpickError {
  return new BriarpickError('ERR_BRIARPICK_RPC_TIMEOUT', `target ${formatAddress(address)} did not respond within ${timeoutMs} ms`, {
    hint: 'check that the target is responsive and reachable',
  })
}

function queryFailed (address: Address, message: string): BriarpickError {
  return new BriarpickError('ERR_BRIARPICK_TARGET_UNREACHABLE', `target ${formatAddress(address)} returned an error: ${message}`, {
    hint: 'check that the target belongs to a database group that reports its term and position',
  })
}
