import { type Address, formatAddress } from '@briarpick/types'
import { createRpcClient, type RpcClient, type RpcClientOptions } from './createRpcClient.js'

/** Options shared by all clients of a cache. */
export interface RpcClientsOptions extends Omit<RpcClientOptions, 'address'> {
  /** Time without a `get` after which a client is closed when another one is created, in ms. */
  readonly idleMs?: number
}

/** A cache of clients by address. */
export interface RpcClients {
  /** The client of an address, created on first use. */
  get: (address: Address) => RpcClient
  /** Number of cached clients. */
  size: () => number
  close: () => void
}

/**
 * VM replacements leave about 160 clients of unused addresses a day at full size. A client in use is requested far more often
 * than once in this time.
 */
const DEFAULT_IDLE_MS = 60_000

interface CachedClient {
  readonly client: RpcClient
  usedAt: number
}

/** Creates an empty cache. */
export function createRpcClients ({ idleMs = DEFAULT_IDLE_MS, ...clientOpts }: RpcClientsOptions = {}): RpcClients {
  const cache = new Map<string, CachedClient>()

  function closeIdle (now: number): void {
    for (const [key, { client, usedAt }] of cache) {
      if (now - usedAt <= idleMs) continue
      client.close()
      cache.delete(key)
    }
  }

  return {
    get (address) {
      const now = performance.now()
      const key = formatAddress(address)
      const cached = cache.get(key)
      if (cached !== undefined) {
        cached.usedAt = now
        return cached.client
      }
      closeIdle(now)
      const client = createRpcClient({ ...clientOpts, address })
      cache.set(key, { client, usedAt: now })
      return client
    },
    size: () => cache.size,
    close () {
      for (const { client } of cache.values()) client.close()
    },
  }
}
