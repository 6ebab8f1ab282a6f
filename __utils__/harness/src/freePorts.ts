import net from 'node:net'

/** Finds ports of the loopback that are free now. */
export async function freePorts (count: number): Promise<readonly number[]> {
  const servers = await Promise.all(Array.from({ length: count }, () => listen()))
  const ports = servers.map((server) => (server.address() as net.AddressInfo).port)
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))))
  return ports
}

function listen (): Promise<net.Server> {
  return new Promise((resolve, reject) => {
    const server = net.createServer()
    server.once('error', reject)
    server.listen(0, '127.0.0.1', () => resolve(server))
  })
}
