import { setTimeout as sleep } from 'node:timers/promises'
import { type Address, formatAddress } from '@briarpick/types'
import { createRpcClient, createRpcServer } from '@briarpick/rpc'
import { createLogger } from '@briarpick/logs'

/** Asks a node whether it keeps a disk; nodes without one only pass requests on. */
export const HAS_DISK_METHOD = 'control.hasDisk'

/** Time after which seeds that have not answered count as voters, in ms: VMs of a new system start within a few hundred. */
const UNHEARD_AFTER_MS = 2000
const ANSWER_TIMEOUT_MS = 300
const ASK_AGAIN_MS = 50
const log = createLogger('control')

/**
 * The first voters of a new cluster: the seeds, but for those that say that they have no disk. All founders come to sets of
 * which no two majorities are apart: they differ at most by seeds without a disk, which never vote, and a set only counts once
 * seeds that are known to have a disk are its majority.
 */
export function chooseFirstVoters (
  seeds: readonly string[],
  hasDisk: ReadonlyMap<string, boolean>,
  waitedMs: number
): readonly string[] | undefined {
  const voters = seeds.filter((seed) => hasDisk.get(seed) !== false)
  const known = voters.filter((seed) => hasDisk.get(seed) === true)
  if (known.length === voters.length) return voters
  return waitedMs >= UNHEARD_AFTER_MS && known.length > voters.length / 2 ? voters : undefined
}

/** Asks the other seeds until the first voters are known; answers their questions meanwhile. */
export async function findFirstVoters (seeds: readonly Address[], self: Address): Promise<readonly string[]> {
  const hasDisk = new Map([[self.host, true]])
  const server = await createRpcServer({ listen: self, handlers: { [HAS_DISK_METHOD]: () => true } })
  const others = seeds.filter((seed) => formatAddress(seed) !== formatAddress(self))
  const clients = others.map((address) => createRpcClient({ address, connectTimeoutMs: ANSWER_TIMEOUT_MS }))
  const startedAt = performance.now()

  async function ask (client: typeof clients[number]): Promise<void> {
    if (hasDisk.has(client.address.host)) return
    const answer = await client.request<boolean>(HAS_DISK_METHOD, {}, { timeoutMs: ANSWER_TIMEOUT_MS })
      // A seed that is not up yet is asked again.
      .catch(() => undefined)
    if (answer !== undefined) hasDisk.set(client.address.host, answer)
  }

  for (;;) {
    await Promise.all(clients.map(ask))
    const voters = chooseFirstVoters(seeds.map(({ host }) => host), hasDisk, performance.now() - startedAt)
    if (voters !== undefined) {
      log('firstVoters', { voters: voters.join(), heard: [...hasDisk.keys()].join() })
      for (const client of clients) client.close()
      await server.close()
      return voters
    }
    await sleep(ASK_AGAIN_MS)
  }
}
