// A stand-in of a replicated database: instances that speak the platform's wire protocol and keep their log in memory.
import net from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { readLines } from './wire.mjs'

/** Service time of a statement, in ms, and of a promotion. */
const WORK_MS = 4
const PROMOTE_MS = 600
/** Time after which a replica applies a commit that it has received, in ms. */
const APPLY_MS = 8
/** Rows that are written at once. */
const ROWS_OF_A_CHUNK = 256

/**
 * Starts the instances of a service at the addresses, the first one as primary. `rowsOf` gives the rows of a read as a count and the
 * text of each; `onRun` is called with each statement that runs.
 */
export async function startDatabase ({ service, addresses, slots, rowsOf, onRun }) {
  const instances = []
  let term = 1

  function open (instance, socket) {
    let state = 'I'
    let isReadOnly = false
    let writes = []
    let isStarted = false
    let queue = Promise.resolve()
    let resume = () => {}
    const position = () => `${instance.term}.${instance.applied}`
    const write = (lines) => { if (!socket.destroyed) socket.write(lines.map((line) => `${line}\r\n`).join(''), 'latin1') }
    const ready = (lines) => write([...lines, `READY ${state} ${position()}`])
    const refuse = (code) => {
      if (state === 'T') state = 'E'
      ready([`ERROR ${code} ${instance.id}`])
    }

    /** Writes rows no faster than the other end reads them. */
    async function sendRows ({ count, text }) {
      const line = `DATAROW ${text}\r\n`
      const chunk = Buffer.from(line.repeat(Math.min(count, ROWS_OF_A_CHUNK)), 'latin1')
      for (let left = count; left > 0 && !socket.destroyed; left -= ROWS_OF_A_CHUNK) {
        const part = left >= ROWS_OF_A_CHUNK ? chunk : chunk.subarray(0, left * line.length)
        if (!socket.write(part)) await nextDrain()
      }
    }

    /** Resolves once the socket has room or is closed. */
    async function nextDrain () {
      await new Promise((resolve) => { resume = resolve })
    }

    async function commit (items) {
      instance.log += 1
      const number = instance.log
      instance.applied = number
      for (const other of instances) {
        if (other === instance || other.term !== instance.term) continue
        other.log = number
        setTimeout(() => { other.applied = Math.max(other.applied, number) }, APPLY_MS)
      }
      return items
    }

    async function runStatement (id, text) {
      const wait = /^WAITLSN (\d+)\.(\d+) (.*)$/s.exec(text)
      if (wait !== null) {
        const lacksPosition = () => Number(wait[2]) > instance.applied && Number(wait[1]) >= instance.term
        for (let waited = 0; lacksPosition() && waited < 300; waited += 4) await sleep(4)
        if (lacksPosition()) return refuse('LAGGING')
      }
      const [verb, ...words] = (wait === null ? text : wait[3]).split(' ')
      if (verb === 'STATUS') {
        const role = instance.isPrimary ? 'primary' : 'replica'
        return ready([`DATAROW ${role} ${instance.term} ${instance.term}.${instance.log} 0 0 0 1`, 'COMPLETE -'])
      }
      if (verb === 'STEPDOWN') {
        if (instance.term < Number(words[0])) instance.isPrimary = false
        return ready(['COMPLETE -'])
      }
      if (verb === 'SET' || verb === 'PREPARE' || verb === 'DEALLOCATE' || verb === 'DISCARD') return ready(['COMPLETE -'])
      if (verb === 'BEGIN') {
        if (words[0] !== 'READ' && !instance.isPrimary) return refuse('READONLY')
        state = 'T'
        isReadOnly = words[0] === 'READ'
        return ready(['COMPLETE -'])
      }
      if (verb === 'ROLLBACK') {
        state = 'I'
        writes = []
        return ready(['COMPLETE -'])
      }
      if (state === 'E') return refuse('MALFORMED')
      await sleep(WORK_MS)
      instance.runs += 1
      const signature = `${instance.id}.${instance.runs}`
      if (verb === 'READ') {
        onRun({ instance: instance.id, id, verb, item: words[0] })
        await sendRows(rowsOf(words[0]))
        return ready([`COMPLETE ${signature}`])
      }
      if (!instance.isPrimary || (verb === 'WRITE' && isReadOnly)) return refuse('READONLY')
      onRun({ instance: instance.id, id, verb, item: words[0] ?? '' })
      if (verb === 'WRITE') {
        if (state === 'T') writes.push(words[0])
        else await commit([words[0]])
        return ready([`COMPLETE ${signature}`])
      }
      if (verb === 'COMMIT') {
        if (writes.length > 0) await commit(writes)
        state = 'I'
        writes = []
        return ready([`COMPLETE ${signature}`])
      }
      return refuse('MALFORMED')
    }

    readLines(socket, (line) => {
      const [kind, ...rest] = line.split(' ')
      if (kind === 'STARTUP') {
        isStarted = rest[0] === service && (rest[2] === undefined || rest[2] === instance.id)
        if (isStarted) ready([])
        else socket.end(`ERROR MISROUTED ${instance.id}\r\n`)
      } else if (kind === 'QUERY' && isStarted) {
        queue = queue.then(async () => await runStatement(rest[0], rest.slice(1).join(' '))).catch(() => socket.destroy())
      }
    })
    socket.on('drain', () => resume())
    socket.on('close', () => resume())
    socket.on('error', () => socket.destroy())
  }

  for (const [i, address] of addresses.entries()) {
    const instance = { id: `i-${service}-${i}`, address, isPrimary: i === 0, term, log: 0, applied: 0, runs: 0, bornMs: Date.now() }
    instances.push(instance)
    instance.server = net.createServer((socket) => open(instance, socket))
    await new Promise((resolve, reject) => instance.server.once('error', reject).listen(address.port, address.host, resolve))
  }

  return {
    service,
    slots,
    instances,
    /** Makes an instance the primary of the next term. */
    async promote (id) {
      const next = instances.find((instance) => instance.id === id)
      if (next === undefined) return false
      if (next.isPrimary) return true
      await sleep(PROMOTE_MS)
      term += 1
      for (const instance of instances) Object.assign(instance, { isPrimary: instance === next, term, log: next.log, applied: next.log })
      return true
    },
  }
}
