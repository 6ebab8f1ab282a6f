import net, { type Socket } from 'node:net'
import { listenOn } from '@briarpick/tcp'
import { type Address } from '@briarpick/types'

/** What a fault-injecting proxy does with bytes; delays in ms. */
export interface Faults {
  /** Accepts connections, passes nothing on and says nothing. */
  readonly cut: boolean
  readonly delayMs: number
  /** Added to each delay, up to this much. */
  readonly jitterMs: number
  /** Part of the chunks that are lost for a while, as with a retransmission. */
  readonly lossRatio: number
}

/** A TCP relay that can cut, delay and hold back. */
export interface FaultProxy {
  readonly address: Address
  set: (faults: Partial<Faults>) => void
  close: () => Promise<void>
}

/** Options of a fault-injecting proxy. */
export interface FaultProxyOptions {
  readonly to: Address
  /** Uniform in [0, 1). */
  readonly random?: () => number
}

const HEALTHY: Faults = { cut: false, delayMs: 0, jitterMs: 0, lossRatio: 0 }
const RETRANSMIT_MS = 200

/** Starts a relay on a free port of the loopback. */
export async function createFaultProxy (opts: FaultProxyOptions): Promise<FaultProxy> {
  const random = opts.random ?? Math.random
  const sockets = new Set<Socket>()
  const waiting = new Set<() => void>()
  let faults = HEALTHY

  function keep (socket: Socket): void {
    sockets.add(socket)
    socket.setNoDelay(true)
    socket.on('error', () => socket.destroy())
    socket.on('close', () => sockets.delete(socket))
  }

  function delay (): number {
    const loss = random() < faults.lossRatio ? RETRANSMIT_MS : 0
    return faults.delayMs + random() * faults.jitterMs + loss
  }

  async function pass (chunk: Buffer, to: Socket, due: number): Promise<void> {
    const ms = due - performance.now()
    if (ms > 0) await new Promise((resolve) => setTimeout(resolve, ms))
    while (faults.cut) await new Promise<void>((resolve) => waiting.add(resolve))
    if (!to.destroyed) to.write(chunk)
  }

  function pipe (from: Socket, to: Socket): void {
    let last = Promise.resolve()
    let lastDue = 0
    from.on('data', (chunk) => {
      // Each chunk has its own delay, as on a network, but none overtakes the one before it.
      const due = lastDue = Math.max(lastDue, performance.now() + delay())
      last = last.then(() => pass(chunk, to, due))
    })
    from.on('close', () => {
      last.then(() => to.destroy(), () => to.destroy())
    })
  }

  const server = net.createServer((from) => {
    keep(from)
    const to = net.connect(opts.to.port, opts.to.host)
    keep(to)
    pipe(from, to)
    pipe(to, from)
  })
  const address = await listenOn(server, { host: '127.0.0.1', port: 0 })

  return {
    address,
    set (next) {
      faults = { ...faults, ...next }
      if (faults.cut) return
      for (const resume of waiting) resume()
      waiting.clear()
    },
    async close () {
      for (const socket of sockets) socket.destroy()
      await new Promise((resolve) => server.close(resolve))
    },
  }
}
