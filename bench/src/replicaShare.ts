import { type Address } from '@briarpick/types'
import { type ProxyReport } from '@briarpick/daemon-proxy'
import { createRpcClient } from '@briarpick/rpc'

/** Counters summed over all proxies, by name. */
export type Counters = Readonly<Record<string, number>>

const STATUS_TIMEOUT_MS = 2000

/** Reads the counters of all proxies; proxies that do not reply in time are left out. */
export async function readCounters (proxies: readonly Address[]): Promise<Counters> {
  const totals: Record<string, number> = {}
  for (const address of proxies) {
    const client = createRpcClient({ address })
    const report = await client.request<ProxyReport>('proxy.status', {}, { timeoutMs: STATUS_TIMEOUT_MS }).catch(() => undefined)
    client.close()
    for (const [name, count] of Object.entries(report?.metrics.counters ?? {})) totals[name] = (totals[name] ?? 0) + count
  }
  return totals
}

/** Fraction of reads that replicas served, from 0 to 1; NaN if there were no reads. */
export function replicaShare (counters: Counters): number {
  const replica = counters['reads.replica'] ?? 0
  const primary = counters['reads.primary'] ?? 0
  return replica / (replica + primary)
}
