import net from 'node:net'
import { type Address, formatAddress } from '@briarpick/types'
import { BriarpickError } from '@briarpick/error'
import { createPeer, type Peer, PROBE_METHOD, type RequestOptions, type RpcHandlers } from './createPeer.js'

/** Options of an RPC client. */
export interface RpcClientOptions {
  readonly address: Address
  /** Methods that the other end may call on this connection. */
  readonly handlers?: RpcHandlers
  readonly connectTimeoutMs?: number
  /** Time between two probes of an open connection, in ms; none if absent. A probe without an answer ends the connection. */
  readonly probeIntervalMs?: number
}

/** A client that connects on first use, and again after a loss. */
export interface RpcClient {
  readonly address: Address
  request: <R>(method: string, params: unknown, opts: RequestOptions) => Promise<R>
  /** Sends without waiting for an answer; dropped if there is no connection. */
  notify: (method: string, params: unknown) => void
  /**
   * Gives up an attempt to connect that is under way, so that the next request starts another: called when the other end has
   * shown that it is there, while the attempt may have begun before.
   */
  abortConnect: () => void
  close: () => void
}

const CONNECT_TIMEOUT_MS = 500
/** Longest time for the answer to a probe, in ms. */
const PROBE_TIMEOUT_MS = 700

/** Creates a client of one address. */
export function createRpcClient (opts: RpcClientOptions): RpcClient {
  let current: Promise<Peer> | undefined
  let closed = false
  let giveUpAttempt: ((reason: string) => void) | undefined
  const probe = opts.probeIntervalMs === undefined ? undefined : setInterval(probeConnection, opts.probeIntervalMs)
  probe?.unref()

  function probeConnection (): void {
    current?.then(async (peer) => {
      await request(peer, PROBE_METHOD, {}, { timeoutMs: PROBE_TIMEOUT_MS })
    }).catch(() => {})
  }

  /** A connection on which an answer failed to come may be silent for good: the next request opens another. */
  async function request <R> (peer: Peer, method: string, params: unknown, requestOpts: RequestOptions): Promise<R> {
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

  function open (): Promise<Peer> {
    const attempt = new Promise<Peer>((resolve, reject) => {
      const socket = net.connect(opts.address.port, opts.address.host)
      // What an earlier attempt still tells must not end a later one.
      const forget = () => { if (current === attempt) current = undefined }
      const end = () => {
        clearTimeout(timer)
        if (giveUpAttempt === fail) giveUpAttempt = undefined
      }
      const fail = (reason: string) => {
        end()
        forget()
        socket.destroy()
        reject(unreachable(opts.address, reason))
      }
      const timer = setTimeout(() => fail('no answer to the connect'), opts.connectTimeoutMs ?? CONNECT_TIMEOUT_MS)
      giveUpAttempt = fail
      socket.once('connect', () => {
        end()
        resolve(createPeer(socket, opts.handlers ?? {}))
      })
      socket.once('error', (err) => fail(err.message))
      socket.once('close', forget)
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
      giveUpAttempt?.('another attempt is made')
    },
    close () {
      closed = true
      clearInterval(probe)
      current?.then((peer) => peer.close(), () => {})
    },
  }
}

function unreachable (address: Address, reason: string): BriarpickError {
  return new BriarpickError('ERR_BRIARPICK_RPC', `cannot reach ${formatAddress(address)}: ${reason}`, {
    hint: 'check the address in the settings and that the process runs',
  })
}
