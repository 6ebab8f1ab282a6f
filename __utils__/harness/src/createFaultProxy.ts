import net, { type Socket } from 'node:net'
import { listenOn } from '@briarpick/tcp'
import { type Address } from '@briarpick/types'

/** Faults that a proxy injects; delays in ms. */
export interface Faults {
  /** Accepts connections but forwards nothing until the fault ends, like a network partition. */
  readonly cut: boolean
  readonly delayMs: number
  /** Largest random addition to a delay, uniformly distributed. */
  readonly jitterMs: number
  /** Ratio of chunks, 0 to 1, that are delayed as by a packet loss with retransmission. */
  readonly lossRatio: number
}

/** A TCP proxy that injects delays, losses and partitions. */
export interface FaultProxy {
  readonly address: Address
  set: (faults: Partial<Faults>) => void
  close: () => Promise<void>
}

/** Options of a fault-injecting proxy. */
export interface FaultProxyOptions {
  /** Upstream address. */
  readonly to: Address
  /** Source of random numbers, uniform in [0, 1). */
  readonly random?: () => number
}

const NO_FAULTS: Faults = { cut: false, delayMs: 0, jitterMs: 0, lossRatio: 0 }
const RETRANSMIT_DELAY_MS = 200

/** Starts a fault-injecting proxy on a free loopback port. */
export async function createFaultProxy (opts: FaultProxyOptions): Promise<FaultProxy> {
  const random = opts.random ?? Math.random
  const sockets = new Set<Socket>()
  const pausedChunks = new Set<() => void>()
  let faults = NO_FAULTS

  function trackSocket (socket: Socket): void {
    sockets.add(socket)
    socket.setNoDelay(true)
    socket.on('error', () => socket.destroy())
    socket.on('close', () => sockets.delete(socket))
  }

  function nextDelayMs (): number {
    const lossMs = random() < faults.lossRatio ? RETRANSMIT_DELAY_MS : 0
    return faults.delayMs + random() * faults.jitterMs + lossMs
  }

  async function forward (chunk: Buffer, to: Socket, dueAt: number): Promise<void> {
    const waitMs = dueAt - performance.now()
    if (waitMs > 0) await new Promise((resolve) => setTimeout(resolve, waitMs))
    while (faults.cut) await new Promise<void>((resolve) => pausedChunks.add(resolve))
    if (!to.destroyed) to.write(chunk)
  }

  function pipe (from: Socket, to: Socket): void {
    let lastForward = Promise.resolve()
    let lastDueAt = 0
    from.on('data', (chunk) => {
      // Delays are independent, as on a network, but TCP keeps the order: no chunk is forwarded before the previous one.
      const dueAt = lastDueAt = Math.max(lastDueAt, performance.now() + nextDelayMs())
      lastForward = lastForward.then(() => forward(chunk, to, dueAt))
    })
    from.on('close', () => {
      lastForward.then(() => to.destroy(), () => to.destroy())
    })
  }

  const server = net.createServer((from) => {
    trackSocket(from)
    const to = net.connect(opts.to.port, opts.to.host)
    trackSocket(to)
    pipe(from, to)
    pipe(to, from)
  })
  const address = await listenOn(server, { host: '127.0.0.1', port: 0 })

  return {
    address,
    set (next) {
      faults = { ...faults, ...next }
      if (faults.cut) return
      for (const resume of pausedChunks) resume()
      pausedChunks.clear()
    },
    async close () {
      for (const socket of sockets) socket.destroy()
      await new Promise((resolve) => server.close(resolve))
    },
  }
}
