// Instances of replicated services, their heartbeats and the platform's promotions, as the pages describe them.
import http from 'node:http'
import net from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { PORTS, statusOf } from './system.js'

const ZONES = ['mvd-centro', 'mvd-prado', 'canelones']
const HEARTBEAT_MS = 1200
const PROMOTE_MS = 600
const RECEIVE_MS = 1
const APPLY_MS = 8
/** Longest wait for a position that the log has and that is not applied yet, in ms. */
const POSITION_WAIT_MS = 500

function split (text, count) {
  const fields = []
  let rest = text
  while (fields.length < count - 1 && rest.includes(' ')) {
    const at = rest.indexOf(' ')
    fields.push(rest.slice(0, at))
    rest = rest.slice(at + 1)
  }
  return [...fields, rest]
}

/** Calls `onLine` for each line of a socket. */
export function readLines (socket, onLine) {
  let parts = []
  socket.on('data', (chunk) => {
    let start = 0
    for (let end = chunk.indexOf(10); end >= 0; end = chunk.indexOf(10, start)) {
      parts.push(chunk.subarray(start, end))
      const line = Buffer.concat(parts).toString('latin1')
      parts = []
      start = end + 1
      onLine(line.endsWith('\r') ? line.slice(0, -1) : line)
    }
    parts.push(chunk.subarray(start))
  })
}

/** Starts a service of three instances. `rowsOf` gives the rows of a read, by item; the value written last by default. */
export async function startService ({ name, hosts, slots = 2, maxConns = 16, workMs = 2, rowsOf, onRun = () => {} }) {
  const group = { name, term: 1, instances: [] }
  for (const [i, host] of hosts.entries()) group.instances.push(await startInstance(host, i))

  async function startInstance (host, i) {
    const self = {
      id: `i-${name}-${i}`, host, zone: ZONES[i % 3], isPrimary: i === 0, term: 1, log: [], applied: 0, born: Date.now(), sequence: 0, running: true, connections: new Set(), active: 0, waiting: [],
    }
    self.server = net.createServer((socket) => serve(self, socket))
    await new Promise((resolve, reject) => {
      self.server.once('error', reject)
      self.server.listen(PORTS.instance, host, resolve)
    })
    return self
  }

  const positionOf = (commits, term) => commits.length === 0 ? `${term}.0` : `${commits.at(-1).term}.${commits.at(-1).number}`

  async function inSlot (self, ms, run) {
    if (self.active >= slots) await new Promise((resolve) => self.waiting.push(resolve))
    self.active += 1
    try {
      await sleep(ms)
      return await run()
    } finally {
      self.active -= 1
      self.waiting.shift()?.()
    }
  }

  /** Appends a commit at the primary; resolves once a replica has received it. */
  async function commit (self, id, writes) {
    const entry = { term: self.term, number: (self.log.at(-1)?.number ?? 0) + 1, id, writes }
    self.log.push(entry)
    const received = group.instances.filter((other) => other !== self).map(async (replica) => {
      await sleep(RECEIVE_MS)
      if (!replica.running || !self.running || replica.isPrimary || replica.term !== self.term) return await new Promise(() => {})
      replica.log.push(entry)
      setTimeout(() => { replica.applied = Math.max(replica.applied, replica.log.indexOf(entry) + 1) }, APPLY_MS)
    })
    await Promise.race(received)
  }

  function serve (self, socket) {
    const session = { values: new Map(), prepared: new Map(), state: 'I', writes: [], readOnly: false, started: false }
    self.connections.add(socket)
    socket.setNoDelay(true)
    socket.on('error', () => socket.destroy())
    socket.on('close', () => self.connections.delete(socket))
    const applied = () => self.isPrimary ? self.log : self.log.slice(0, self.applied)
    const write = (lines) => { if (!socket.destroyed) socket.write(lines.map((line) => `${line}\r\n`).join(''), 'latin1') }
    const answer = (lines) => write([...lines, `READY ${session.state} ${positionOf(applied(), self.term)}`])
    const fail = (code) => {
      if (session.state === 'T') session.state = 'E'
      answer([`ERROR ${code} ${self.id}`])
    }
    const sign = (id) => {
      onRun({ instance: self.id, id })
      return `COMPLETE ${self.id}.${id}`
    }
    const valueOf = (item) => session.writes.findLast(([key]) => key === item)?.[1] ??
      applied().findLast(({ writes }) => writes.some(([key]) => key === item))?.writes.findLast(([key]) => key === item)[1] ?? 'none'

    async function awaitPosition (wanted) {
      const [term, number] = wanted.split('.').map(Number)
      const has = (commits) => number === 0 || commits.some((entry) => entry.term > term || (entry.term === term && entry.number >= number))
      for (const deadline = performance.now() + POSITION_WAIT_MS; performance.now() < deadline; await sleep(1)) {
        if (has(applied())) return true
        if (!has(self.log)) return false
      }
      return false
    }

    async function runData (id, access, args) {
      if (access === 'READ') {
        const [item] = split(args, 2)
        await inSlot(self, workMs, () => answer([...(rowsOf?.(item) ?? [valueOf(item)]).map((row) => `DATAROW ${row}`), sign(id)]))
        return
      }
      if (!self.isPrimary || session.readOnly) return fail('READONLY')
      const [item, data = ''] = split(args, 2)
      await inSlot(self, workMs, async () => {
        const signature = sign(id)
        if (session.state === 'T') session.writes.push([item, data])
        else await commit(self, id, [[item, data]])
        answer([signature])
      })
    }

    async function run (id, fullText) {
      let [verb, rest = ''] = split(fullText, 2)
      if (verb === 'WAITLSN') {
        const [position, text] = split(rest, 2)
        if (!await awaitPosition(position)) return fail('LAGGING')
        ;[verb, rest = ''] = split(text, 2)
      }
      if (session.state === 'E' && verb !== 'COMMIT' && verb !== 'ROLLBACK') return fail('MALFORMED')
      if (verb === 'READ' || verb === 'WRITE') return await runData(id, verb, rest)
      if (verb === 'EXECUTE') {
        const [statement, args = ''] = split(rest, 2)
        const access = session.prepared.get(statement)
        return access === undefined ? fail('NOSTMT') : await runData(id, access, args)
      }
      if (verb === 'BEGIN') {
        if (rest !== 'READ' && !self.isPrimary) return fail('READONLY')
        Object.assign(session, { state: 'T', readOnly: rest === 'READ', writes: [] })
      } else if (verb === 'COMMIT') {
        const { writes, state } = session
        Object.assign(session, { state: 'I', readOnly: false, writes: [] })
        if (state === 'E') return fail('ABORTED')
        return await inSlot(self, workMs, async () => {
          const signature = sign(id)
          if (writes.length > 0) await commit(self, id, writes)
          answer([signature])
        })
      } else if (verb === 'ROLLBACK') Object.assign(session, { state: 'I', readOnly: false, writes: [] })
      else if (verb === 'SET') session.values.set(...split(rest, 2))
      else if (verb === 'PREPARE') {
        const [statement, access] = split(rest, 3)
        session.prepared.set(statement, access)
      } else if (verb === 'DEALLOCATE') {
        if (!session.prepared.delete(rest)) return fail('NOSTMT')
      } else if (verb === 'DISCARD') {
        session.values.clear()
        session.prepared.clear()
      } else if (verb === 'STATUS') {
        const role = self.isPrimary ? 'primary' : 'replica'
        return answer([`DATAROW ${role} ${self.term} ${positionOf(self.log, self.term)} ${self.term} 0 ${self.active} ${self.connections.size}`, 'COMPLETE -'])
      } else if (verb === 'STEPDOWN') {
        if (Number(rest) > self.term) follow(self)
      } else return fail('MALFORMED')
      answer(['COMPLETE -'])
    }

    let queue = Promise.resolve()
    readLines(socket, (line) => {
      const [word, rest = ''] = split(line, 2)
      if (word === 'STARTUP') {
        const [service, , id] = rest.split(' ')
        const refusal = service !== name || (id !== undefined && id !== self.id) ? 'MISROUTED' : self.connections.size > maxConns ? 'CONNLIMIT' : undefined
        session.started = refusal === undefined
        if (refusal === undefined) answer([])
        else socket.end(`ERROR ${refusal} ${self.id}\r\n`)
      } else if (word === 'QUERY' && session.started) {
        const [id, text = ''] = split(rest, 2)
        queue = queue.then(() => run(id, text)).catch(() => socket.destroy())
      }
    })
  }

  function follow (self) {
    const primary = group.instances.find(({ isPrimary, term }) => isPrimary && term === group.term)
    if (primary === undefined || primary === self) return
    Object.assign(self, { isPrimary: false, term: group.term, log: [...primary.log], applied: primary.log.length })
  }

  return {
    ...group,
    heartbeatOf: (self) => ({
      service: name,
      address: `${self.host}:${PORTS.instance}`,
      zone: self.zone,
      version: 'v1',
      capacity: slots,
      state: 'ready',
      warmup_left_ms: 0,
      db_role: self.isPrimary ? 'primary' : 'replica',
      sequence: ++self.sequence,
      born: self.born,
    }),
    async promote (id) {
      const self = group.instances.find((each) => each.id === id)
      if (self === undefined || !self.running) return 409
      if (self.isPrimary && self.term === group.term) return 200
      setTimeout(() => {
        if (!self.running) return
        group.term += 1
        Object.assign(self, { isPrimary: true, term: group.term, applied: self.log.length })
        for (const other of group.instances) if (other !== self) follow(other)
      }, PROMOTE_MS)
      return 200
    },
    close () {
      for (const { server, connections } of group.instances) {
        server.close()
        for (const socket of connections) socket.destroy()
      }
    },
  }
}

/** Starts the services of a small site with their heartbeats, and the platform's API. */
export async function startPlatform ({ system, services, record, ...options }) {
  const running = []
  for (const [i, name] of services.entries()) {
    running.push(await startService({ name, hosts: [1, 2, 3].map((n) => `127.${system.subnet}.${20 + i}.${n}`), ...options }))
  }
  const promote = async (body) => {
    const { service, id } = JSON.parse(body)
    record(`promote ${id} of ${service}`)
    return await running.find(({ name }) => name === service)?.promote(id) ?? 409
  }
  const server = http.createServer((req, res) => {
    let body = ''
    req.on('data', (chunk) => { body += chunk })
    req.on('end', () => { promote(body).then((status) => res.writeHead(status).end()) })
  })
  await new Promise((resolve) => server.listen(system.cloud.port, system.cloud.host, resolve))
  const controls = system.hosts.slice(0, 3)

  async function beat (service, self) {
    const body = JSON.stringify(service.heartbeatOf(self))
    for (const host of controls) {
      const status = await statusOf(`http://${host}:${PORTS.admin}/-/instances/${self.id}`, { method: 'PUT', body, headers: { 'content-type': 'application/json' } })
      if (status >= 200 && status < 300) return
    }
  }
  const beatAll = () => { for (const service of running) for (const self of service.instances) if (self.running) beat(service, self) }
  const timer = setInterval(beatAll, HEARTBEAT_MS)
  beatAll()
  return {
    services: running,
    close () {
      clearInterval(timer)
      server.closeAllConnections()
      server.close()
      for (const service of running) service.close()
    },
  }
}
