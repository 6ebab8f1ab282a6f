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

/** Receives the messages of an answer; a promise holds back the rest until it resolves. */
export type FrameSink = (frames: readonly Frame[]) => Promise<void> | undefined | void

/** Options of a connection to a target. */
export interface ConnectTargetOptions {
  readonly address: Address
  readonly user: string
  readonly password?: string
  readonly database: string
  readonly tls?: boolean
  readonly timeoutMs: number
}

/** A connection to a target. It owns its socket, and carries one exchange at a time. */
export interface TargetConnection {
  /** Sends bytes that end in `readyCount` queries or syncs, and passes on the answer until the last ReadyForQuery. */
  exchange: (bytes: Buffer, readyCount: number, sink: FrameSink) => Promise<void>
  /** Runs one simple query and collects its rows. */
  query: (text: string, timeoutMs: number) => Promise<ReadonlyArray<ReadonlyArray<string | null>>>
  /** Asks the target to stop the statement at work. */
  cancel: () => void
  isOpen: () => boolean
  onClose: (listener: () => void) => void
  /** Says goodbye; an exchange at work is broken off and rejects. */
  close: () => void
}

/** Longest message of a target, in bytes. */
const MAX_MESSAGE_BYTES = 256 * 1024 * 1024
const CANCEL_REQUEST_CODE = 80877102

interface Exchange {
  readonly sink: FrameSink
  readonly resolve: () => void
  readonly reject: (err: BriarpickError) => void
  readyLeft: number
}

type PgClient = pg.Client & {
  readonly connection: { readonly stream: Socket }
  readonly processID: number
  readonly secretKey: number
}

/** Opens a connection; the library does start-up and password check, then the bytes are ours. */
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
  return adopt(client, opts)
}

function adopt (client: PgClient, opts: ConnectTargetOptions): TargetConnection {
  const socket = client.connection.stream
  const reader = createFrameReader({ maxBytes: MAX_MESSAGE_BYTES })
  const closeListeners: Array<() => void> = []
  let current: Exchange | undefined
  let open = true
  socket.removeAllListeners('data')
  socket.setNoDelay(true)
  socket.on('data', receive)
  socket.on('error', () => socket.destroy())
  socket.on('close', lost)

  function lost (): void {
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
    const held = exchange.sink(frames)
    for (const frame of frames) {
      if (isReadyForQuery(frame)) exchange.readyLeft -= 1
    }
    if (exchange.readyLeft <= 0) current = undefined
    if (held !== undefined) holdUntil(held)
    if (exchange.readyLeft <= 0) exchange.resolve()
  }

  function holdUntil (held: Promise<void>): void {
    socket.pause()
    held.finally(() => socket.resume()).catch(() => socket.destroy())
  }

  const connection: TargetConnection = {
    exchange (bytes, readyCount, sink) {
      return new Promise((resolve, reject) => {
        if (!open) {
          reject(unreachable(opts.address, new Error('the connection is closed')))
          return
        }
        current = { sink, resolve, reject, readyLeft: readyCount }
        socket.write(bytes)
      })
    },
    async query (text, timeoutMs) {
      const rows: Array<ReadonlyArray<string | null>> = []
      let failure: string | undefined
      let timedOut = false
      const timer = setTimeout(() => {
        timedOut = true
        socket.destroy()
      }, timeoutMs)
      try {
        await connection.exchange(writeQuery(text), 1, (frames) => {
          for (const frame of frames) {
            if (frame[0] === BackendCode.dataRow) rows.push(readDataRow(frame))
            if (frame[0] === BackendCode.error) failure = readErrorSummary(frame).message
          }
        })
      } catch (err) {
        throw timedOut ? answerTimedOut(opts.address, timeoutMs) : err
      } finally {
        clearTimeout(timer)
      }
      if (failure !== undefined) throw statementFailed(opts.address, failure)
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
  return new BriarpickError('ERR_BRIARPICK_TARGET_UNREACHABLE', `cannot use target ${formatAddress(address)}: ${reason}`, {
    hint: 'check that the target runs and that this VM can reach it',
    cause: err,
  })
}

function connectionLost (address: Address): BriarpickError {
  return new BriarpickError('ERR_BRIARPICK_OUTCOME_UNKNOWN', `the connection to ${formatAddress(address)} was lost after the request was sent`, {
    hint: 'look the change up before sending it again, or send requests with an idempotency key',
  })
}

function answerTimedOut (address: Address, timeoutMs: number): BriarpickError {
  return new BriarpickError('ERR_BRIARPICK_RPC_TIMEOUT', `target ${formatAddress(address)} did not answer within ${timeoutMs} ms`, {
    hint: 'check that the target is not frozen or cut off',
  })
}

function statementFailed (address: Address, message: string): BriarpickError {
  return new BriarpickError('ERR_BRIARPICK_TARGET_UNREACHABLE', `target ${formatAddress(address)} answered: ${message}`, {
    hint: 'check that the target belongs to a group that exposes terms and positions',
  })
}
