import { setTimeout as sleep } from 'node:timers/promises'
import { type Address, formatAddress } from '@briarpick/types'
import { createRpcClient, createRpcServer } from '@briarpick/rpc'
import { createLogger } from '@briarpick/logs'

/** RPC method that returns whether a node has a disk; nodes without one only forward requests. */
export const HAS_DISK_METHOD = 'control.hasDisk'

/** Time after which unresponsive seeds count as voters, in ms; the VMs of a new system start within a few hundred ms. */
const UNRESPONSIVE_SEED_MS = 2000
const RESPONSE_TIMEOUT_MS = 300
const RETRY_DELAY_MS = 50
const log = createLogger('control')

/**
 * Returns the initial voters of a new cluster, which are all seeds except those that report having no disk; undefined while
 * they can't be decided. Nodes that bootstrap the cluster may choose different sets, but any two majorities of these overlap:
 * the sets differ only by seeds without a disk, which never vote, and a set is chosen only once a majority of it is known to
 * have a disk.
 */
export function chooseInitialVoters (
  seeds: readonly string[],
  hasDisk: ReadonlyMap<string, boolean>,
  waitedMs: number
): readonly string[] | undefined {
  const voters = seeds.filter((seed) => hasDisk.get(seed) !== false)
  const confirmed = voters.filter((seed) => hasDisk.get(seed) === true)
  if (confirmed.length === voters.length) return voters
  return waitedMs >= UNRESPONSIVE_SEED_MS && confirmed.length > voters.length / 2 ? voters : undefined
}

/** Queries the other seeds until the initial voters are decided, and responds to their queries in the meantime. */
export async function findInitialVoters (seeds: readonly Address[], self: Address): Promise<readonly string[]> {
  const hasDisk = new Map([[self.host, true]])
  const server = await createRpcServer({ listen: self, handlers: { [HAS_DISK_METHOD]: () => true } })
  const others = seeds.filter((seed) => formatAddress(seed) !== formatAddress(self))
  const clients = others.map((address) => createRpcClient({ address, connectTimeoutMs: RESPONSE_TIMEOUT_MS }))
  const startedAt = performance.now()

  async function querySeed (client: typeof clients[number]): Promise<void> {
    if (hasDisk.has(client.address.host)) return
    const response = await client.request<boolean>(HAS_DISK_METHOD, {}, { timeoutMs: RESPONSE_TIMEOUT_MS })
      // A seed that is not up yet is queried again.
      .catch(() => undefined)
    if (response !== undefined) hasDisk.set(client.address.host, response)
  }

  for (;;) {
    await Promise.all(clients.map(querySeed))
    const voters = chooseInitialVoters(seeds.map(({ host }) => host), hasDisk, performance.now() - startedAt)
    if (voters !== undefined) {
      log('initialVotersChosen', { voters: voters.join(), heard: [...hasDisk.keys()].join() })
      for (const client of clients) client.close()
      await server.close()
      return voters
    }
    await sleep(RETRY_DELAY_MS)
  }
}
