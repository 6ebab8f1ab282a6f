import net from 'node:net'
import { type Address, formatAddress } from '@briarpick/types'
import { BriarpickError } from '@briarpick/error'
import { createPeer, type Peer, PROBE_METHOD, type RpcHandlers, type RpcRequestOptions } from './createPeer.js'

/** Options of an RPC client. */
export interface RpcClientOptions {
  readonly address: Address
  /** Methods that the server may call on this connection. */
  readonly handlers?: RpcHandlers
  /** Maximum duration of a connection attempt, in ms; a function is called for each attempt. */
  readonly connectTimeoutMs?: number | (() => number)
  /** Interval of the probes of an open connection, in ms; no probes if absent. A probe without a response closes the connection. */
  readonly probeIntervalMs?: number
}

/** An RPC client of one server. Connects on first use, and reconnects on the first use after the connection is lost. */
export interface RpcClient {
  readonly address: Address
  /** Sends a request as `Peer.request` does; rejects with ERR_BRIARPICK_RPC also if the server can't be reached. */
  request: <R>(method: string, params: unknown, opts: RpcRequestOptions) => Promise<R>
  /** Sends a notification, which has no response; dropped if no connection can be opened. */
  notify: (method: string, params: unknown) => void
  /**
   * Aborts the connection attempt in progress, if any, so that the next request starts a new one. Used when the server is known
   * to be up, but the attempt may have started before the server did.
   */
  abortConnect: () => void
  close: () => void
}

const DEFAULT_CONNECT_TIMEOUT_MS = 500
/** Time without a response after which a probe has failed, in ms. */
const PROBE_TIMEOUT_MS = 700

/** Creates a client of one address, without connecting. */
export function createRpcClient (opts: RpcClientOptions): RpcClient {
  let current: Promise<Peer> | undefined
  let closed = false
  let abortAttempt: ((reason: string) => void) | undefined
  const probeTimer = opts.probeIntervalMs === undefined ? undefined : setInterval(probeConnection, opts.probeIntervalMs)
  probeTimer?.unref()

  function probeConnection (): void {
    current?.then(async (peer) => {
      await request(peer, PROBE_METHOD, {}, { timeoutMs: PROBE_TIMEOUT_MS })
    }).catch(() => {})
  }

  /** Closes the connection after a timeout, since it may be half-open: the next request then opens a new one. */
  async function request <R> (peer: Peer, method: string, params: unknown, requestOpts: RpcRequestOptions): Promise<R> {
    try {
      return await peer.request<R>(method, params, requestOpts)
    } catch (err) {
      if (err instanceof BriarpickError && err.code === 'ERR_BRIARPICK_RPC_TIMEOUT') peer.close()
      throw err
    }
  }

  function connect (): Promise<Peer> {
    if (closed) return Promise.reject(unreachable(opts.address, 'the client is closed'))
    current ??= open()
    return current
  }

  function nextConnectTimeoutMs (): number {
    const { connectTimeoutMs = DEFAULT_CONNECT_TIMEOUT_MS } = opts
    return typeof connectTimeoutMs === 'function' ? connectTimeoutMs() : connectTimeoutMs
  }

  function open (): Promise<Peer> {
    const attempt = new Promise<Peer>((resolve, reject) => {
      const socket = net.connect(opts.address.port, opts.address.host)
      // A late event of an aborted attempt must not discard the current one.
      const clearCurrent = () => { if (current === attempt) current = undefined }
      const settle = () => {
        clearTimeout(timer)
        if (abortAttempt === fail) abortAttempt = undefined
      }
      const fail = (reason: string) => {
        settle()
        clearCurrent()
        socket.destroy()
        reject(unreachable(opts.address, reason))
      }
      const timer = setTimeout(() => fail('the connection attempt timed out'), nextConnectTimeoutMs())
      abortAttempt = fail
      socket.once('connect', () => {
        settle()
        resolve(createPeer(socket, opts.handlers ?? {}))
      })
      socket.once('error', (err) => fail(err.message))
      socket.once('close', clearCurrent)
    })
    return attempt
  }

  return {
    address: opts.address,
    async request (method, params, requestOpts) {
      return await request(await connect(), method, params, requestOpts)
    },
    notify (method, params) {
      connect().then((peer) => peer.notify(method, params), () => {})
    },
    abortConnect () {
      abortAttempt?.('the connection attempt was aborted')
    },
    close () {
      closed = true
      clearInterval(probeTimer)
      current?.then((peer) => peer.close(), () => {})
    },
  }
}

function unreachable (address: Address, reason: string): BriarpickError {
  return new BriarpickError('ERR_BRIARPICK_RPC', `cannot reach ${formatAddress(address)}: ${reason}`, {
    hint: 'check the address in the settings and that the process is running',
  })
}
