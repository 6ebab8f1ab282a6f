import net from 'node:net'

/** Below the ports that the system gives to outgoing connections. */
const FIRST_PORT = 12_000
/** Ports for each process that uses the harness, so that several may run at once. */
const PORTS_PER_PROCESS = 300
const PORT_RANGES = 64

let nextOffset = 0

/** Finds ports of the loopback that are free now; none is given twice in a process until all were used. */
export async function findFreePorts (count: number): Promise<readonly number[]> {
  const ports: number[] = []
  for (let attempts = 0; ports.length < count; attempts++) {
    if (attempts > PORTS_PER_PROCESS) throw new Error(`fewer than ${count} ports are free`)
    const port = FIRST_PORT + (process.pid % PORT_RANGES) * PORTS_PER_PROCESS + nextOffset
    nextOffset = (nextOffset + 1) % PORTS_PER_PROCESS
    if (await isFree(port)) ports.push(port)
  }
  return ports
}

function isFree (port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = net.createServer()
    server.once('error', () => resolve(false))
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)))
  })
}
