import net from 'node:net'
import { type Address, formatAddress } from '@briarpick/types'
import { BriarpickError } from '@briarpick/error'
import { createPeer, type Peer, type RequestOptions, type RpcHandlers } from './createPeer.js'

/** Options of an RPC client. */
export interface RpcClientOptions {
  readonly address: Address
  /** Methods that the other end may call on this connection. */
  readonly handlers?: RpcHandlers
  readonly connectTimeoutMs?: number
}

/** A client that connects on first use, and again after a loss. */
export interface RpcClient {
  readonly address: Address
  request: <R>(method: string, params: unknown, opts: RequestOptions) => Promise<R>
  /** Sends without waiting for an answer; dropped if there is no connection. */
  notify: (method: string, params: unknown) => void
  close: () => void
}

const CONNECT_TIMEOUT_MS = 500

/** Creates a client of one address. */
export function createRpcClient (opts: RpcClientOptions): RpcClient {
  let current: Promise<Peer> | undefined
  let closed = false

  function connect (): Promise<Peer> {
    if (closed) return Promise.reject(unreachable(opts.address, 'the client is closed'))
    current ??= open()
    return current
  }

  function open (): Promise<Peer> {
    return new Promise((resolve, reject) => {
      const socket = net.connect(opts.address.port, opts.address.host)
      const forget = () => { current = undefined }
      const fail = (reason: string) => {
        forget()
        socket.destroy()
        reject(unreachable(opts.address, reason))
      }
      const timer = setTimeout(() => fail('no answer to the connect'), opts.connectTimeoutMs ?? CONNECT_TIMEOUT_MS)
      socket.once('connect', () => {
        clearTimeout(timer)
        resolve(createPeer(socket, opts.handlers ?? {}))
      })
      socket.once('error', (err) => {
        clearTimeout(timer)
        fail(err.message)
      })
      socket.once('close', forget)
    })
  }

  return {
    address: opts.address,
    async request (method, params, requestOpts) {
      const peer = await connect()
      return await peer.request(method, params, requestOpts)
    },
    notify (method, params) {
      connect().then((peer) => peer.notify(method, params), () => {})
    },
    close () {
      closed = true
      current?.then((peer) => peer.close(), () => {})
    },
  }
}

function unreachable (address: Address, reason: string): BriarpickError {
  return new BriarpickError('ERR_BRIARPICK_RPC', `cannot reach ${formatAddress(address)}: ${reason}`, {
    hint: 'check the address in the settings and that the process runs',
  })
}
