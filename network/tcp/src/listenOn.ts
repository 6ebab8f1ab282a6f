import { type AddressInfo, type Server } from 'node:net'
import { type Address } from '@briarpick/types'

/** Starts to listen; the address with the port that was given, if the settings said 0. */
export async function listenOn (server: Server, { host, port }: Address): Promise<Address> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
  return { host, port: (server.address() as AddressInfo).port }
}
