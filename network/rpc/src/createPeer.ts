import { type Socket } from 'node:net'
import { JSONRPCClient, JSONRPCErrorException, JSONRPCServer, JSONRPCServerAndClient } from 'json-rpc-2.0'
import split2 from 'split2'
import { BriarpickError, type ErrorData, fromErrorData, toErrorData } from '@briarpick/error'

/** Maximum length of a line that a peer accepts, in bytes; a longer one closes the connection. */
export const MAX_LINE_BYTES = 8 * 1024 * 1024

/** Error code of every failed call. JSON-RPC 2.0 reserves -32099 to -32000 for errors that the implementation defines. */
const APPLICATION_ERROR = -32000

/** Handles one method; `peer` is the connection that delivered the request. The parameters are not validated before the call. */
export type RpcHandler = (params: never, peer: Peer) => unknown

/** Method that every peer answers; a response shows that the connection works in both directions. */
export const PROBE_METHOD = 'peer.probe'

/** Handlers by method name. */
export type RpcHandlers = Readonly<Record<string, RpcHandler>>

/** One end of an RPC connection. Both ends may send requests. */
export interface Peer {
  /**
   * Sends a request and resolves to its result. Rejects with the error of the remote handler, ERR_BRIARPICK_RPC_TIMEOUT, or
   * ERR_BRIARPICK_RPC if the connection is lost.
   */
  request: <R>(method: string, params: unknown, opts: RpcRequestOptions) => Promise<R>
  /** Sends a notification, which has no response; dropped if the connection is closed. */
  notify: (method: string, params: unknown) => void
  close: () => void
}

/** Options of a request. */
export interface RpcRequestOptions {
  readonly timeoutMs: number
}

/** Creates a peer on a connected socket, which it owns. A line that is too long or not valid JSON closes the connection. */
export function createPeer (socket: Socket, handlers: RpcHandlers): Peer {
  const server = new JSONRPCServer({ errorListener: () => {} })
  const client = new JSONRPCClient((payload) => send(payload))
  const endpoint = new JSONRPCServerAndClient(server, client, { errorListener: () => {} })
  server.mapErrorToJSONRPCErrorResponse = (id, err) => ({
    jsonrpc: '2.0',
    id,
    error: { code: APPLICATION_ERROR, message: err instanceof Error ? err.message : String(err), data: toErrorData(err) },
  })
  for (const [method, handler] of Object.entries(handlers)) {
    server.addMethod(method, (params: unknown) => handler(params as never, peer))
  }

  server.addMethod(PROBE_METHOD, () => true)

  function send (payload: unknown): void {
    if (socket.destroyed) throw connectionLost()
    socket.write(JSON.stringify(payload) + '\n')
  }

  const peer: Peer = {
    async request <R>(method: string, params: unknown, opts: RpcRequestOptions): Promise<R> {
      try {
        return await client.timeout(opts.timeoutMs, timeoutResponse).request(method, params)
      } catch (err) {
        throw toBriarpickError(err, method)
      }
    },
    notify (method, params) {
      if (!socket.destroyed) endpoint.notify(method, params)
    },
    close: () => socket.destroy(),
  }

  socket.setNoDelay(true)
  socket.on('error', () => socket.destroy())
  socket.on('close', () => endpoint.rejectAllPendingRequests('connection closed'))
  const lines = split2({ maxLength: MAX_LINE_BYTES })
  lines.on('error', () => socket.destroy())
  lines.on('data', (line: string) => receive(line))
  socket.pipe(lines)

  function receive (line: string): void {
    let payload
    try {
      payload = JSON.parse(line)
    } catch {
      socket.destroy()
      return
    }
    endpoint.receiveAndSend(payload).catch(() => socket.destroy())
  }

  return peer
}

function timeoutResponse (id: unknown) {
  const data = toErrorData(new BriarpickError('ERR_BRIARPICK_RPC_TIMEOUT', 'the peer did not respond in time', { hint: 'check that the peer is running and reachable' }))
  return { jsonrpc: '2.0' as const, id: id as number, error: { code: APPLICATION_ERROR, message: data.message, data } }
}

function connectionLost (): BriarpickError {
  return new BriarpickError('ERR_BRIARPICK_RPC', 'the connection to the peer was lost', { hint: 'the peer may have stopped; the next request reconnects' })
}

function toBriarpickError (err: unknown, method: string): BriarpickError {
  if (err instanceof JSONRPCErrorException && isErrorData(err.data)) return fromErrorData(err.data)
  if (err instanceof BriarpickError) return err
  const message = err instanceof Error ? err.message : String(err)
  return new BriarpickError('ERR_BRIARPICK_RPC', `${method}: ${message}`, { hint: 'check that the peer runs the same version' })
}

function isErrorData (data: unknown): data is ErrorData {
  return typeof data === 'object' && data !== null && 'code' in data && 'message' in data
}
