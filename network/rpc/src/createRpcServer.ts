import net from 'node:net'
import { listenOn } from '@briarpick/tcp'
import { type Address } from '@briarpick/types'
import { createPeer, type Peer, type RpcHandlers } from './createPeer.js'

/** Options of an RPC server. */
export interface RpcServerOptions {
  readonly listen: Address
  /** Methods that clients may call. */
  readonly handlers: RpcHandlers
}

/** A listening RPC server. */
export interface RpcServer {
  /** Address that the server is bound to. */
  readonly address: Address
  /** Sends a notification to every connected peer. */
  broadcast: (method: string, params: unknown) => void
  /** Closes the listener and all connections. */
  close: () => Promise<void>
}

/** Starts a server that accepts RPC connections. Rejects if it cannot bind to the address. */
export async function createRpcServer (opts: RpcServerOptions): Promise<RpcServer> {
  const peers = new Set<Peer>()
  const server = net.createServer((socket) => {
    const peer = createPeer(socket, opts.handlers)
    peers.add(peer)
    socket.on('close', () => peers.delete(peer))
  })
  const address = await listenOn(server, opts.listen)
  return {
    address,
    broadcast (method, params) {
      for (const peer of peers) peer.notify(method, params)
    },
    async close () {
      const closed = new Promise((resolve) => server.close(resolve))
      for (const peer of peers) peer.close()
      await closed
    },
  }
}
