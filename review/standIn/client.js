// Clients of the wire.
import net from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { PORTS } from './system.js'

let lastId = 0

/** Returns a statement id that no other statement has. */
export function newId () {
  lastId += 1
  return `${process.pid.toString(16)}${lastId.toString(16).padStart(10, '0')}`
}

/** Opens a session; rejects if it gets no READY within 2 s. */
export function openSession (host, database) {
  return new Promise((resolve, reject) => {
    const socket = net.connect(PORTS.frontend, host)
    let text = ''
    let isReady = false
    let answer = { rows: [], signature: null, error: null, lines: [] }
    let pending
    const timer = setTimeout(() => {
      socket.destroy()
      reject(new Error('no READY'))
    }, 2000)
    const session = {
      /** Lines that arrived while no request was outstanding. */
      unasked: [],
      isOpen: () => !socket.destroyed,
      /** Sends a statement; resolves with its answer, or with undefined if the connection ends first. */
      query: (query, id = newId()) => new Promise((resolve) => {
        if (socket.destroyed) {
          resolve(undefined)
          return
        }
        pending = resolve
        socket.write(`QUERY ${id} ${query}\r\n`)
      }),
      close: () => socket.destroy(),
    }
    socket.setNoDelay(true)
    socket.on('error', () => socket.destroy())
    socket.on('close', () => {
      clearTimeout(timer)
      pending?.(undefined)
      reject(new Error('closed'))
    })
    socket.on('data', (chunk) => {
      text += chunk.toString('utf8')
      const lines = text.split('\r\n')
      text = lines.pop()
      for (const line of lines) handle(line)
    })
    function handle (line) {
      const [word, ...rest] = line.split(' ')
      if (!isReady) {
        if (word !== 'READY') return
        isReady = true
        clearTimeout(timer)
        resolve(session)
        return
      }
      if (pending === undefined) {
        session.unasked.push(line)
        return
      }
      answer.lines.push(line)
      if (word === 'DATAROW') answer.rows.push(rest.join(' '))
      if (word === 'COMPLETE') answer.signature = rest[0]
      if (word === 'ERROR') answer.error = rest.join(' ')
      if (word !== 'READY') return
      const done = pending
      const complete = { ...answer, state: rest[0], position: rest[1] }
      pending = undefined
      answer = { rows: [], signature: null, error: null, lines: [] }
      done(complete)
    }
    socket.write(`STARTUP ${database} client\r\n`)
  })
}

/**
 * Starts a client that sends one single write after the other, each of an item of its own, and moves on to the next machine when its
 * session ends. `outcomes` has one entry for each write: {id, item, outcome}.
 */
export function startWriter ({ hosts, database, name, pauseMs, record }) {
  const outcomes = []
  let isRunning = true
  async function run () {
    let session
    for (let i = 0, h = 0; isRunning; i += 1) {
      if (session === undefined || !session.isOpen()) {
        session = await openSession(hosts[h % hosts.length], database).catch(() => undefined)
        h += 1
        if (session === undefined) {
          await sleep(50)
          continue
        }
      }
      const id = newId()
      const item = `${name}.${i}`
      const sentAt = performance.now()
      const answer = await session.query(`WRITE ${item} ${id}`, id)
      const outcome = answer === undefined ? 'no answer' : answer.error ?? 'done'
      outcomes.push({ id, item, outcome, sentAt, at: performance.now() })
      record(`${name} sent ${id} WRITE ${item}: ${outcome}`)
      if (answer === undefined || answer.state !== 'I') session.close()
      await sleep(outcome === 'done' ? pauseMs : 100)
    }
    session?.close()
  }
  const ended = run()
  return {
    outcomes,
    async stop () {
      isRunning = false
      await ended
    },
  }
}
