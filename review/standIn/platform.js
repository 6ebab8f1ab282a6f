// The platform's promote call.
import http from 'node:http'

/** Starts the endpoint; `promote(service, id)` resolves with the status of the response. */
export async function startPlatform ({ address, record, promote }) {
  const [host, port] = address.split(':')
  const calls = []
  const server = http.createServer((req, res) => {
    const parts = []
    req.on('data', (part) => parts.push(part))
    req.on('end', () => {
      const { service, id } = JSON.parse(Buffer.concat(parts).toString())
      const holder = req.headers['x-lease-holder']
      const token = Number(req.headers['x-fencing-token'])
      calls.push({ service, id, holder, token })
      promote(service, id).then((status) => {
        record(`platform: ${req.method} ${req.url} service ${service} id ${id} holder ${holder} token ${token}: ${status}`)
        res.writeHead(status).end()
      }, () => res.writeHead(500).end())
    })
  })
  await new Promise((resolve) => server.listen(Number(port), host, resolve))
  return {
    calls,
    close () {
      server.closeAllConnections()
      server.close()
    },
  }
}
