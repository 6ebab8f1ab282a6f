// The operator: sends configurations to the daemons that serve control, as the pages say.
import { setTimeout as sleep } from 'node:timers/promises'
import { PORTS, statusOf } from './system.js'

/** Responses that end a call at once. */
const FINAL = new Set([200, 400, 409, 412, 413, 422])

/** A configuration with a route of each kind to each service. */
export function configuration (version, services) {
  const kinds = [['primary', {}], ['read_your_writes', { max_staleness_ms: 2500 }], ['bounded_staleness', { max_staleness_ms: 1500 }]]
  return {
    version,
    routes: services.flatMap((service) => kinds.map(([kind, more]) => ({
      name: `r-${kind}-${service}`,
      host: `${kind}-${service}`,
      path_prefix: '/',
      kind,
      timeout_ms: 800,
      target_latency_ms: 200,
      priority: 1,
      service,
      max_attempts: 2,
      ...more,
    }))),
    services: services.map((name) => ({ name, health_path: '/healthz', max_conns: 16, protocol: 'h1', tls: false, sync_replicas: 1 })),
    limits: { max_header_bytes: 16_384, max_body_bytes: 262_144, header_timeout_ms: 3000, idle_timeout_ms: 15_000, tx_idle_ms: 3000 },
  }
}

/**
 * Sends an order to the daemons in turn, with growing pauses, until one ends it or the time is over. `timeoutMs` is how long it waits for a
 * response, more for large bodies. Returns the last status, 0 for none.
 */
export async function order (hosts, body, { record, what, forMs, timeoutMs = 1000, first = 0 }) {
  const deadline = performance.now() + forMs
  let status = 0
  let pauseMs = 100
  for (let i = first; performance.now() < deadline; i += 1) {
    const host = hosts[i % hosts.length]
    status = await statusOf(`http://${host}:${PORTS.admin}/-/config`, { method: 'PUT', body, headers: { 'content-type': 'application/json' }, timeoutMs })
    record(`order ${what} to control-${i % hosts.length + 1}: ${status === 0 ? 'no response' : status}`)
    if (FINAL.has(status)) return status
    await sleep(pauseMs)
    pauseMs = Math.min(1000, pauseMs * 1.5)
  }
  return status
}
