// Lines of the platform's wire protocol, as bytes with one character each.
import net from 'node:net'

const ENDING = '\r\n'

/** Calls back with each line of a socket, without its ending. */
export function readLines (socket, onLine) {
  let rest = ''
  socket.setEncoding('latin1')
  socket.on('data', (chunk) => {
    rest += chunk
    for (let end = rest.indexOf(ENDING); end >= 0; end = rest.indexOf(ENDING)) {
      const line = rest.slice(0, end)
      rest = rest.slice(end + ENDING.length)
      onLine(line)
    }
  })
}

/** Opens a session; resolves with undefined if it is refused, or not ready within 2 s. */
export function openSession (address, database) {
  return new Promise((resolve) => {
    const socket = net.connect(address.port, address.host)
    const pending = []
    let lines = []
    let ready = false
    const timer = setTimeout(() => socket.destroy(), 2000)
    const session = {
      isOpen: () => !socket.destroyed,
      /** Sends a statement; resolves with the lines of the answer, or with undefined if the connection ends first. */
      query: (id, text) => new Promise((_resolve) => {
        if (socket.destroyed) {
          _resolve(undefined)
          return
        }
        pending.push(_resolve)
        socket.write(`QUERY ${id} ${text}${ENDING}`, 'latin1')
      }),
      close: () => socket.destroy(),
    }
    socket.setNoDelay(true)
    readLines(socket, (line) => {
      if (!ready) {
        clearTimeout(timer)
        ready = line.startsWith('READY')
        if (ready) resolve(session)
        else socket.destroy()
        return
      }
      lines.push(line)
      if (!line.startsWith('READY')) return
      pending.shift()?.(lines)
      lines = []
    })
    socket.on('error', () => {})
    socket.on('close', () => {
      clearTimeout(timer)
      resolve(undefined)
      for (const resolveAnswer of pending.splice(0)) resolveAnswer(undefined)
    })
    socket.write(`STARTUP ${database} u1${ENDING}`)
  })
}
