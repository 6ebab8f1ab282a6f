import { type Address, formatAddress } from '@briarpick/types'
import { createRpcClient, type RpcClient, type RpcClientOptions } from './createRpcClient.js'

/** Options of all clients of one kind. */
export interface RpcClientsOptions extends Omit<RpcClientOptions, 'address'> {
  /** Time after which a client that nobody asked for is closed, in ms. */
  readonly idleMs?: number
}

/** Clients by address, each created at its first use. */
export interface RpcClients {
  get: (address: Address) => RpcClient
  /** Clients that are kept now. */
  size: () => number
  close: () => void
}

/** Addresses change as VMs are replaced, 160 a day at full size; one that is still used is asked for far more often. */
const IDLE_MS = 60_000

interface KeptClient {
  readonly client: RpcClient
  usedAt: number
}

/** Creates clients without connecting any. */
export function createRpcClients ({ idleMs = IDLE_MS, ...options }: RpcClientsOptions = {}): RpcClients {
  const kept = new Map<string, KeptClient>()

  function closeIdle (now: number): void {
    for (const [key, { client, usedAt }] of kept) {
      if (now - usedAt <= idleMs) continue
      client.close()
      kept.delete(key)
    }
  }

  return {
    get (address) {
      const now = performance.now()
      const key = formatAddress(address)
      const known = kept.get(key)
      if (known !== undefined) {
        known.usedAt = now
        return known.client
      }
      closeIdle(now)
      const client = createRpcClient({ ...options, address })
      kept.set(key, { client, usedAt: now })
      return client
    },
    size: () => kept.size,
    close () {
      for (const { client } of kept.values()) client.close()
    },
  }
}
