// A replicated database as PROTOCOL.md describes it: instances that speak the wire, send heartbeats and replicate their logs in memory.
import net from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { call, PORTS } from './system.js'

/** Figures of the instances of irp-pool. */
const SLOTS = 2
const MAX_CONNECTIONS = 16
const HANDSHAKE_MS = 12
const WORK_MS = 4
const STATUS_MS = 1
const RECEIVE_MS = 1
const APPLY_MS = 8
const PROMOTE_MS = 600
/** Time after which an earlier primary that can reach the new one becomes a replica. */
const STEP_DOWN_MS = 1000
const HEARTBEAT_MS = 1200
/** Time until a new or restarted replica has the primary's log. */
const COPY_MS = 50
const WAIT_MS = 500

/** Creates a database of instances; the first one is the primary. `daemonOf(i)` is the control daemon that instance i calls first. */
export function createDatabase ({ service, subnet, record, controls, daemonOf = (i) => i, count = 3 }) {
  const instances = []
  /** Commits that clients have sent, by statement id, and every request that ran: {id, text, instance, at}. */
  const ran = []
  const promotions = []
  let term = 1
  let primary

  function createInstance (i) {
    let server
    let sockets = new Set()
    let heartbeatTimer
    let waiting = []
    let busy = 0
    const instance = {
      id: `i-${service}-${i + 1}`,
      host: `127.${subnet}.20.${i + 1}`,
      zone: ['zone-a', 'zone-b', 'zone-c'][i % 3],
      running: false,
      isPrimary: false,
      term: 1,
      log: [],
      applied: 0,
      /** While true, it receives nothing; what was sent meanwhile is held up. */
      isDeaf: false,
      held: [],
      /** Rejects the commits that wait for a replica. */
      pendingCommits: new Set(),
      state: 'ready',
      born: 0,
      sequence: 0,
      daemon: daemonOf(i),
      /** Called with the number of each connection since the start; returns how long its packets are held up, in ms. */
      delayOf: () => 0,
      connections: 0,
      /** Called with each request that runs. */
      onRun: () => {},

      async start () {
        instance.running = true
        instance.born = Date.now()
        instance.sequence = 0
        instance.state = 'ready'
        instance.connections = 0
        sockets = new Set()
        waiting = []
        busy = 0
        server = net.createServer((socket) => serve(instance, socket))
        await new Promise((resolve, reject) => {
          server.once('error', reject)
          server.listen(PORTS.instance, instance.host, resolve)
        })
        record(`${instance.id} starts as ${instance.isPrimary ? 'primary' : 'replica'}, born ${instance.born}`)
        beat()
      },
      /** Ends at once, without a word. With `keepsLog` false its log is lost with it. */
      crash ({ keepsLog = true } = {}) {
        record(`${instance.id} ends, its last position is ${positionOf(instance.log.at(-1))}`)
        instance.running = false
        clearTimeout(heartbeatTimer)
        for (const reject of instance.pendingCommits) reject(new Error('ended'))
        for (const socket of sockets) socket.resetAndDestroy()
        server.close()
        if (!keepsLog) {
          instance.log = []
          instance.applied = 0
        }
      },
      /** Becomes a replica of the present primary, with a copy of its log. */
      async follow () {
        instance.isPrimary = false
        for (const reject of instance.pendingCommits) reject(new Error('no longer the primary'))
        await sleep(COPY_MS)
        if (primary === undefined || !primary.running || primary === instance) return
        instance.term = primary.term
        instance.log = [...primary.log]
        instance.applied = instance.log.length
      },
      /** Reports its state now; resolves with the status of the last response. */
      async heartbeat () {
        const body = JSON.stringify({
          service,
          address: `${instance.host}:${PORTS.instance}`,
          zone: instance.zone,
          version: 'v1',
          capacity: SLOTS,
          state: instance.state,
          warmup_left_ms: 0,
          db_role: instance.isPrimary ? 'primary' : 'replica',
          sequence: ++instance.sequence,
          born: instance.born,
        })
        return await callDaemon(instance, 'PUT', body)
      },
      /** Says that it leaves for good. */
      withdraw: async () => await callDaemon(instance, 'DELETE'),
      takeSlot: async () => {
        if (busy >= SLOTS) await new Promise((resolve) => waiting.push(resolve))
        else busy += 1
        let held = true
        return () => {
          if (!held) return
          held = false
          const next = waiting.shift()
          if (next === undefined) busy -= 1
          else next()
        }
      },
      track (socket) {
        sockets.add(socket)
        socket.on('close', () => sockets.delete(socket))
        return sockets.size
      },
      busy: () => busy,
    }

    function beat () {
      if (!instance.running) return
      instance.heartbeat().catch(() => {})
      heartbeatTimer = setTimeout(beat, HEARTBEAT_MS)
    }
    return instance
  }

  /** Calls the daemons in turn, beginning with the one that answered last, until one acknowledges within a second. */
  async function callDaemon (instance, method, body) {
    let status = 0
    for (let i = 0; i < controls.length; i += 1) {
      const address = controls[instance.daemon % controls.length]
      status = await call(method, address, `/-/instances/${instance.id}`, body)
      if (method === 'DELETE' || instance.sequence === 1 || JSON.parse(body).state !== 'ready') {
        record(`${instance.id} ${method} ${body === undefined ? '' : JSON.parse(body).state} to ${address}: ${status === 0 ? 'no response' : status}`)
      }
      if (status >= 200 && status < 500) return status
      instance.daemon += 1
    }
    return status
  }

  /** Appends a commit at the primary; resolves once a replica has received it. */
  async function commit (instance, writes) {
    const entry = { term: instance.term, number: (instance.log.at(-1)?.number ?? 0) + 1, writes }
    instance.log.push(entry)
    let onLost
    await new Promise((resolve, reject) => {
      onLost = reject
      instance.pendingCommits.add(reject)
      for (const replica of instances) {
        if (replica === instance) continue
        setTimeout(() => receive(replica, instance, entry, resolve), RECEIVE_MS)
      }
    }).finally(() => instance.pendingCommits.delete(onLost))
  }

  function receive (replica, from, entry, onReceived) {
    if (!replica.running || replica.isPrimary || !from.running || replica.term > from.term) return
    if (replica.isDeaf) {
      replica.held.push(() => receive(replica, from, entry, onReceived))
      return
    }
    // A replica of an earlier primary, or one that started while there was none, follows this one from here on.
    if (replica.term < from.term) {
      replica.follow().then(() => { if (replica.term === from.term) receive(replica, from, entry, onReceived) }, () => {})
      return
    }
    const last = replica.log.length
    // What it has missed before, it fetches from the primary.
    for (const missing of from.log.slice(last, entry.number)) {
      replica.log.push(missing)
      setTimeout(() => { replica.applied = Math.max(replica.applied, Math.min(missing.number, replica.log.length)) }, APPLY_MS)
    }
    entry.receivedBy = [...entry.receivedBy ?? [], replica.id]
    onReceived()
  }

  function serve (instance, socket) {
    const openConnections = instance.track(socket)
    instance.connections += 1
    const delayMs = instance.delayOf(instance.connections)
    const values = new Map()
    const prepared = new Map()
    let text = ''
    let started = false
    let state = 'I'
    let readOnly = false
    let writes = []
    let queue = delayMs > 0 ? sleep(delayMs) : Promise.resolve()
    socket.setNoDelay(true)
    socket.on('error', () => socket.destroy())
    socket.on('data', (chunk) => {
      text += chunk.toString('utf8')
      const lines = text.split('\r\n')
      text = lines.pop()
      for (const line of lines) queue = queue.then(async () => await handle(line)).catch(() => socket.destroy())
    })

    const send = (...lines) => { if (!socket.destroyed) socket.write(lines.map((line) => `${line}\r\n`).join('')) }
    const applied = () => instance.isPrimary ? instance.log : instance.log.slice(0, instance.applied)
    const answer = (...lines) => send(...lines, `READY ${state} ${positionOf(applied().at(-1), instance.term)}`)
    const fail = (code) => {
      if (state === 'T') state = 'E'
      answer(`ERROR ${code} ${instance.id}`)
    }
    const complete = (...rows) => answer(...rows.map((row) => `DATAROW ${row}`), `COMPLETE ${instance.id}.${Math.random().toString(16).slice(2)}`)

    function valueOf (item) {
      const own = writes.findLast((write) => write.item === item)
      if (own !== undefined) return own.data
      for (const entry of applied().toReversed()) {
        const found = entry.writes.findLast((write) => write.item === item)
        if (found !== undefined) return found.data
      }
      return 'none'
    }

    async function handle (line) {
      const [word, ...rest] = line.split(' ')
      if (word === 'STARTUP') {
        const isRouted = rest[0] === service && (rest[2] === undefined || rest[2] === instance.id)
        if (!isRouted) socket.end(`ERROR MISROUTED ${instance.id}\r\n`)
        else if (openConnections > MAX_CONNECTIONS) socket.end(`ERROR CONNLIMIT ${instance.id}\r\n`)
        else {
          const release = await instance.takeSlot()
          await sleep(HANDSHAKE_MS)
          release()
          started = true
          answer()
        }
        return
      }
      if (word === 'TERMINATE') socket.end()
      if (word !== 'QUERY' || !started) return
      let [id, verb, ...fields] = rest
      if (verb === 'WAITLSN') {
        if (!(await waitFor(fields[0]))) {
          fail('LAGGING')
          return
        }
        [verb, ...fields] = fields.slice(1)
      }
      if (state === 'E' && verb !== 'COMMIT' && verb !== 'ROLLBACK') fail('MALFORMED')
      else if (HANDLERS[verb] === undefined) fail('MALFORMED')
      else await HANDLERS[verb](id, fields, line)
    }

    async function waitFor (position) {
      const [wantedTerm, wantedNumber] = position.split('.').map(Number)
      const reaches = ({ term, number }) => term > wantedTerm || (term === wantedTerm && number >= wantedNumber)
      const has = (log) => wantedNumber === 0 || log.some(reaches)
      for (let waited = 0; waited < WAIT_MS; waited += 2) {
        if (has(applied())) return true
        if (!has(instance.log)) return false
        await sleep(2)
      }
      return false
    }

    /** Runs work in a slot, unless the instance ends first. */
    async function inSlot (ms, work) {
      const release = await instance.takeSlot()
      try {
        await sleep(ms)
        if (instance.running && !socket.destroyed) await work()
      } finally {
        release()
      }
    }

    function noteRun (id, line) {
      const run = { id, line, instance: instance.id, at: performance.now() }
      ran.push(run)
      instance.onRun(run)
    }

    async function read (id, item, line) {
      await inSlot(WORK_MS, () => {
        noteRun(id, line)
        complete(valueOf(item))
      })
    }

    async function write (id, item, data, line) {
      if (!instance.isPrimary || readOnly) {
        fail('READONLY')
        return
      }
      await inSlot(WORK_MS, async () => {
        noteRun(id, line)
        if (state === 'T') writes.push({ id, item, data })
        else await commit(instance, [{ id, item, data }])
        complete()
      })
    }

    const HANDLERS = {
      BEGIN (_id, [mode]) {
        if (mode !== 'READ' && !instance.isPrimary) {
          fail('READONLY')
          return
        }
        readOnly = mode === 'READ'
        state = 'T'
        answer('COMPLETE -')
      },
      async COMMIT (id, _fields, line) {
        const committed = writes
        const hasFailed = state === 'E'
        writes = []
        readOnly = false
        state = 'I'
        if (hasFailed) {
          fail('ABORTED')
          return
        }
        await inSlot(WORK_MS, async () => {
          noteRun(id, line)
          if (committed.length > 0) await commit(instance, committed)
          complete()
        })
      },
      ROLLBACK () {
        state = 'I'
        readOnly = false
        writes = []
        answer('COMPLETE -')
      },
      READ: async (id, [item], line) => await read(id, item, line),
      WRITE: async (id, [item, ...data], line) => await write(id, item, data.join(' '), line),
      SET (_id, [name, ...value]) {
        values.set(name, value.join(' '))
        answer('COMPLETE -')
      },
      PREPARE (_id, [name, access, ...shape]) {
        prepared.set(name, { access, shape: shape.join(' ') })
        answer('COMPLETE -')
      },
      async EXECUTE (id, [name, item, ...data], line) {
        const statement = prepared.get(name)
        if (statement === undefined) fail('NOSTMT')
        else if (statement.access === 'READ') await read(id, item, line)
        else await write(id, item, data.join(' '), line)
      },
      DEALLOCATE (_id, [name]) {
        prepared.delete(name)
        answer('COMPLETE -')
      },
      DISCARD () {
        values.clear()
        prepared.clear()
        answer('COMPLETE -')
      },
      async STATUS () {
        const role = instance.isPrimary ? 'primary' : 'replica'
        await inSlot(STATUS_MS, () => {
          const received = positionOf(instance.log.at(-1), instance.term)
          answer(`DATAROW ${role} ${instance.term} ${received} 0 0 ${instance.busy()} ${instance.connections}`, 'COMPLETE -')
        })
      },
      async STEPDOWN (_id, [wanted]) {
        if (instance.isPrimary && Number(wanted) > instance.term && primary !== instance) await instance.follow()
        answer('COMPLETE -')
      },
    }
  }

  /** Carries out a promotion: some hundred ms later the instance leads the next term with what it has received and nothing more. */
  async function promote (id) {
    const next = instances.find((instance) => instance.id === id)
    if (next === undefined || !next.running) return 409
    if (next === primary) return 200
    setTimeout(() => {
      if (!next.running) return
      term += 1
      primary = next
      next.isPrimary = true
      next.term = term
      next.isDeaf = false
      next.held = []
      next.applied = next.log.length
      const log = [...next.log]
      promotions.push({ id, term, log, at: performance.now() })
      record(`${id} leads term ${term} with ${log.length} commits, up to ${positionOf(log.at(-1))}`)
      for (const other of instances) {
        if (other === next || !other.running) continue
        setTimeout(() => {
          if (other.running && other !== primary && other.term < term) other.follow().catch(() => {})
        }, other.isPrimary ? STEP_DOWN_MS : 0)
      }
    }, PROMOTE_MS)
    return 200
  }

  for (let i = 0; i < count; i += 1) instances.push(createInstance(i))
  primary = instances[0]
  primary.isPrimary = true

  return {
    service,
    instances,
    ran,
    promotions,
    primary: () => primary,
    promote,
    async start () {
      for (const instance of instances) await instance.start()
    },
    close () {
      for (const instance of instances) if (instance.running) instance.crash()
    },
  }
}

/** A position as TERM.NUMBER. */
export function positionOf (entry, term = 1) {
  return entry === undefined ? `${term}.0` : `${entry.term}.${entry.number}`
}
