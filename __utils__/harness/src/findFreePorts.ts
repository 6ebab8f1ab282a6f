import net from 'node:net'

/** The ranges lie below the ephemeral ports of the operating system. */
const FIRST_PORT = 12_000
/** Each process takes ports from its own range, so that several can run at once. */
const PORTS_PER_PROCESS = 300
const PORT_RANGES = 64

let nextOffset = 0

/** Finds free loopback ports. Repeats no port until it has tried all of the process's range; rejects if too few of these are free. */
export async function findFreePorts (count: number): Promise<readonly number[]> {
  const ports: number[] = []
  for (let attempts = 0; ports.length < count; attempts++) {
    if (attempts > PORTS_PER_PROCESS) throw new Error(`found fewer than ${count} free ports`)
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
