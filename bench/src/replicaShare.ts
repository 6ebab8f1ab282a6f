import { type Address } from '@briarpick/types'
import { type ProxyReport } from '@briarpick/daemon-proxy'
import { createRpcClient } from '@briarpick/rpc'

/** Counters of all proxies, added up. */
export type Counters = Readonly<Record<string, number>>

const TIMEOUT_MS = 2000

/** Reads the counters of proxies that answer. */
export async function readCounters (proxies: readonly Address[]): Promise<Counters> {
  const total: Record<string, number> = {}
  for (const address of proxies) {
    const client = createRpcClient({ address })
    const report = await client.request<ProxyReport>('proxy.status', {}, { timeoutMs: TIMEOUT_MS }).catch(() => undefined)
    client.close()
    for (const [name, count] of Object.entries(report?.metrics.counters ?? {})) total[name] = (total[name] ?? 0) + count
  }
  return total
}

/** Share of reads that replicas served, from 0 to 1. */
export function replicaShare (counters: Counters): number {
  const replica = counters['reads.replica'] ?? 0
  const primary = counters['reads.primary'] ?? 0
  return replica / (replica + primary)
}
