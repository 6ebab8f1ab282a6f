import { type Socket } from 'node:net'
import { JSONRPCClient, JSONRPCErrorException, JSONRPCServer, JSONRPCServerAndClient } from 'json-rpc-2.0'
import split2 from 'split2'
import { BriarpickError, type ErrorData, fromErrorData, toErrorData } from '@briarpick/error'

/** Longest line that a peer reads, in bytes. */
export const MAX_LINE_BYTES = 8 * 1024 * 1024

const APPLICATION_ERROR = -32000

/** Answers one method. The peer is the connection that asked; what it sent is not checked yet. */

export type RpcHandler = (params: never, peer: Peer) => unknown

/** Method that every peer answers, to show that the connection carries. */
export const PROBE_METHOD = 'peer.probe'

/** Handlers by method name. */
export type RpcHandlers = Readonly<Record<string, RpcHandler>>

/** One end of a connection. */
export interface Peer {
  request: <R>(method: string, params: unknown, opts: RequestOptions) => Promise<R>
  notify: (method: string, params: unknown) => void
  close: () => void
}

/** Options of a request. */
export interface RequestOptions {
  readonly timeoutMs: number
}

/** Speaks JSON-RPC on a connected socket. */
export function createPeer (socket: Socket, handlers: RpcHandlers): Peer {
  const server = new JSONRPCServer({ errorListener: () => {} })
  const client = new JSONRPCClient((payload) => send(payload))
  const both = new JSONRPCServerAndClient(server, client, { errorListener: () => {} })
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
    async request <R>(method: string, params: unknown, opts: RequestOptions): Promise<R> {
      try {
        return await client.timeout(opts.timeoutMs, timedOut).request(method, params)
      } catch (err) {
        throw toBriarpickError(err, method)
      }
    },
    notify (method, params) {
      if (!socket.destroyed) both.notify(method, params)
    },
    close: () => socket.destroy(),
  }

  socket.setNoDelay(true)
  socket.on('error', () => socket.destroy())
  socket.on('close', () => both.rejectAllPendingRequests('connection closed'))
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
    both.receiveAndSend(payload).catch(() => socket.destroy())
  }

  return peer
}

function timedOut (id: unknown) {
  const data = toErrorData(new BriarpickError('ERR_BRIARPICK_RPC_TIMEOUT', 'the peer did not answer in time', { hint: 'check that it runs and can be reached' }))
  return { jsonrpc: '2.0' as const, id: id as number, error: { code: APPLICATION_ERROR, message: data.message, data } }
}

function connectionLost (): BriarpickError {
  return new BriarpickError('ERR_BRIARPICK_RPC', 'the connection to the peer is lost', { hint: 'the peer may have stopped; the next request connects again' })
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
