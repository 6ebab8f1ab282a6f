import net from 'node:net'
import { randomInt } from 'node:crypto'
import { listenOn } from '@briarpick/tcp'
import { type Address } from '@briarpick/types'
import { acceptCaller } from '@briarpick/pg-caller'
import { writeErrorFields } from '@briarpick/pg-wire'
import { createRpcClient } from '@briarpick/rpc'
import { createInstance, type Instance } from './createInstance.js'
import { REPLICA_USER, replicate } from './replicate.js'
import { type Cancellation, serveSession } from './serveSession.js'
import { type StandInOptions } from './standInOptions.js'

const ANNOUNCE_INTERVAL_MS = 1000
const ANNOUNCE_TIMEOUT_MS = 500
/** The process id and the secret key of a cancel request are signed 32-bit integers. */
const MAX_KEY = 2 ** 31 - 1

/** A running stand-in target. */
export interface StandIn {
  /** Address that it listens on. */
  readonly address: Address
  close: () => Promise<void>
}

/** Starts a stand-in target: an in-memory ledger served over the PostgreSQL protocol, which announces itself to the proxies. */
export async function createStandIn (opts: StandInOptions): Promise<StandIn> {
  const instance = createInstance(opts)
  const cancellations = new Map<number, Cancellation>()
  const sockets = new Set<net.Socket>()
  const server = net.createServer((socket) => {
    sockets.add(socket)
    socket.on('close', () => sockets.delete(socket))
    serve(socket, instance, cancellations).catch(() => socket.destroy())
  })
  const address = await listenOn(server, opts.listen)
  const stopReplication = replicate(instance)
  const stopAnnouncing = startAnnouncing(instance, opts.advertise ?? address)
  return {
    address,
    async close () {
      stopAnnouncing()
      stopReplication()
      for (const socket of sockets) socket.destroy()
      await new Promise((resolve) => server.close(resolve))
    },
  }
}

async function serve (socket: net.Socket, instance: Instance, cancellations: Map<number, Cancellation>): Promise<void> {
  const key = { processId: randomInt(1, MAX_KEY), secret: randomInt(1, MAX_KEY) }
  await new Promise((resolve) => setTimeout(resolve, instance.opts.connectMs))
  const accepted = await acceptCaller(socket, {
    startupResponse: { key, parameters: { server_version: '16.0', client_encoding: 'UTF8', standard_conforming_strings: 'on' } },
    onCancel (request) {
      const found = cancellations.get(request.processId)
      if (found?.key.secret === request.secret) found.onCancel()
    },
  })
  if (accepted === undefined) return
  if (instance.isFull() && accepted.parameters.user !== REPLICA_USER) {
    accepted.socket.end(writeErrorFields({ sqlState: '53300', message: 'sorry, too many clients already', severity: 'FATAL' }))
    return
  }
  const cancellation: Cancellation = { key, onCancel: () => {} }
  cancellations.set(key.processId, cancellation)
  accepted.socket.on('close', () => cancellations.delete(key.processId))
  if (accepted.parameters.user !== REPLICA_USER) {
    instance.addConnection()
    accepted.socket.on('close', () => instance.removeConnection())
  }
  serveSession(instance, accepted.socket, accepted.pipelinedBytes, cancellation)
}

/** Announces the instance once a second, to one proxy until a request fails, then to the next. Returns a function that stops it. */
function startAnnouncing (instance: Instance, address: Address): () => void {
  const { service, database, instance: name, dataCentre, announceTo } = instance.opts
  const clients = announceTo.map((proxy) => createRpcClient({ address: proxy }))
  let proxyIndex = 0

  async function announceOnce (): Promise<void> {
    const announcement = {
      service,
      database,
      instance: name,
      dataCentre,
      address,
      role: instance.role(),
      term: instance.term(),
      position: instance.ledger.position(),
      state: instance.state(),
    }
    for (let attempts = 0; attempts < clients.length; attempts++) {
      try {
        await clients[proxyIndex].request('targets.announce', announcement, { timeoutMs: ANNOUNCE_TIMEOUT_MS })
        return
      } catch {
        proxyIndex = (proxyIndex + 1) % clients.length
      }
    }
  }

  const timer = setInterval(() => { announceOnce().catch(() => {}) }, ANNOUNCE_INTERVAL_MS)
  announceOnce().catch(() => {})
  return () => {
    clearInterval(timer)
    for (const client of clients) client.close()
  }
}
