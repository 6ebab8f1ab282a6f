// A client of the wire: one session, one request at a time.
import net from 'node:net'
import { PORTS } from './system.js'
import { readLines } from './instances.js'

let lastId = 0
const newId = () => `${process.pid.toString(16)}${(++lastId).toString(16).padStart(8, '0')}`

/** Opens a session; rejects with the code of an error, or with `closed` or `timeout`. */
export async function openSession (host, database, { readyMs = 2000, requestMs = 5000 } = {}) {
  const socket = net.connect(PORTS.frontend, host)
  let pending
  let reply = newReply()
  const settle = (result) => {
    const { resolve, timer } = pending ?? {}
    clearTimeout(timer)
    pending = undefined
    reply = newReply()
    resolve?.(result)
  }
  const wait = (ms) => new Promise((resolve) => {
    pending = { resolve, timer: setTimeout(() => settle({ error: 'no answer' }), ms) }
  })
  socket.setNoDelay(true)
  socket.on('error', () => socket.destroy())
  socket.on('close', () => settle({ error: 'closed' }))
  readLines(socket, (line) => {
    const [word, ...rest] = line.split(' ', 3)
    if (word === 'DATAROW') reply.rows.push(line.slice('DATAROW '.length))
    else if (word === 'COMPLETE') reply.signature = rest[0]
    else if (word === 'ERROR') reply.error = rest[0]
    else if (word === 'READY') settle({ ...reply, state: rest[0] })
    else settle({ error: 'unreadable' })
  })
  const started = wait(readyMs)
  socket.write(`STARTUP ${database} ${newId()}\r\n`)
  const { error } = await started
  if (error !== undefined) {
    socket.destroy()
    throw new Error(error)
  }
  return {
    async query (text) {
      if (socket.destroyed) return { error: 'closed' }
      const answered = wait(requestMs)
      socket.write(`QUERY ${newId()} ${text}\r\n`, 'latin1')
      return await answered
    },
    close: () => socket.destroy(),
  }
}

function newReply () {
  return { rows: [], signature: undefined, error: undefined }
}

/** Opens a session at any of the hosts and runs one statement there, again until it succeeds or the time is over. */
export async function tryUntil (hosts, database, text, timeoutMs) {
  const deadline = performance.now() + timeoutMs
  let last
  for (let i = 0; performance.now() < deadline; i += 1) {
    const session = await openSession(hosts[i % hosts.length], database).catch((err) => { last = err.message })
    const reply = await session?.query(text)
    session?.close()
    if (reply !== undefined && reply.error === undefined) return reply
    last = reply?.error ?? last
    await new Promise((resolve) => setTimeout(resolve, 100))
  }
  throw new Error(`no success of ${text.slice(0, 40)}: ${last}`)
}
