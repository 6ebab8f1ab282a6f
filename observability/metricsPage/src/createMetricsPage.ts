import http from 'node:http'
import { listenOn } from '@briarpick/tcp'
import { type Address } from '@briarpick/types'
import { type Service } from '@briarpick/kernel'
import { createLogger } from '@briarpick/logs'
import { type Metrics } from '@briarpick/metrics'

const log = createLogger('metrics')

/** Serves the metrics of a process at `/metrics` in the Prometheus text format. Rejects if the address cannot be bound. */
export async function createMetricsPage (opts: { readonly listen: Address, readonly metrics: Metrics }): Promise<Service> {
  const server = http.createServer((req, res) => {
    if (req.url !== '/metrics') {
      res.writeHead(404).end('see /metrics\n')
      return
    }
    opts.metrics.page().then((page) => res.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' }).end(page), (err) => {
      log('metricsPageFailed', { reason: String(err) })
      res.writeHead(500).end()
    })
  })
  await listenOn(server, opts.listen)
  return {
    async close () {
      server.closeAllConnections()
      await new Promise((resolve) => server.close(resolve))
    },
  }
}
