import { type AddressInfo, type Server } from 'node:net'
import { type Address } from '@briarpick/types'

/** Binds a server to an address and resolves to it, with the port that the system assigned if the port is 0. Rejects if the bind fails. */
export async function listenOn (server: Server, { host, port }: Address): Promise<Address> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
  return { host, port: (server.address() as AddressInfo).port }
}
