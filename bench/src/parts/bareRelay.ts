import net from 'node:net'
import { type Address } from '@briarpick/types'
import { acceptCaller, createCallerChannel } from '@briarpick/pg-caller'
import { connectTarget, type TargetConnection } from '@briarpick/pg-target'
import { createTargetPool } from '@briarpick/pool'

/** Options of the relay, the baseline of `proxyCost`: it forwards each batch to any free connection, without routing decisions. */
interface BareRelayOptions {
  readonly targets: readonly Address[]
  readonly database: string
  readonly connections: number
}

const CONNECT_TIMEOUT_MS = 1000
const opts = JSON.parse(process.argv[2] ?? '{}') as BareRelayOptions
const waitingRequests: Array<(connection: TargetConnection, release: () => void) => void> = []
const pools = opts.targets.map((address) => createTargetPool({
  connect: () => connectTarget({ address, user: 'relay', database: opts.database, timeoutMs: CONNECT_TIMEOUT_MS }),
  maxConnections: opts.connections,
  slots: opts.connections,
  onAvailable: dispatchWaiting,
}))
for (const pool of pools) pool.preconnect()

function dispatchWaiting (): void {
  while (waitingRequests.length > 0) {
    const pool = pools.find((candidate) => candidate.canAcquire())
    const connection = pool?.acquire()
    if (pool === undefined || connection === undefined) return
    waitingRequests.shift()?.(connection, () => {
      pool.release(connection)
      pool.releaseSlot()
    })
  }
}

function runBatch (bytes: Buffer, write: (bytes: Buffer) => Promise<void> | undefined): Promise<void> {
  return new Promise((resolve, reject) => {
    waitingRequests.push((connection, release) => {
      connection.exchange(bytes, 1, (frames) => write(Buffer.concat(frames))).then(resolve, reject).finally(release).catch(() => {})
    })
    dispatchWaiting()
  })
}

const server = net.createServer((socket) => {
  acceptCaller(socket, { startupResponse: { key: { processId: 1, secret: 1 }, parameters: {} }, onCancel: () => {} }).then((accepted) => {
    if (accepted === undefined) return
    const channel = createCallerChannel({
      socket: accepted.socket,
      pipelinedBytes: accepted.pipelinedBytes,
      maxBatchBytes: 1024 * 1024,
      onBatch: (batch) => runBatch(Buffer.concat(batch.frames), (bytes) => channel.write(bytes)),
      onClose: () => {},
    })
  }, () => socket.destroy())
})
server.listen(0, '127.0.0.1', () => {
  const { port } = server.address() as net.AddressInfo
  process.stdout.write(JSON.stringify({ port }) + '\n')
})
