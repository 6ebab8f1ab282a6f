import { type Socket } from 'node:net'
import { createLogger } from '@briarpick/logs'
import { createMessageReader, encodeMessage, exceedsLengthLimit, type StatementLinkMessage } from './statementLinkCodec.js'

/** Sends and receives link messages on a socket. */
export interface StatementLinkSocket {
  /**
   * Sends a message; all messages of one turn of the event loop are combined into one write. Returns false, without sending it, if it is
   * too long: the other end would close the link.
   */
  send: (message: StatementLinkMessage) => boolean
  close: () => void
}

const log = createLogger('link')

/** Creates one end of a link on a socket, which may still be connecting. An invalid message closes the socket. */
export function createStatementLinkSocket (socket: Socket, onMessage: (message: StatementLinkMessage) => void): StatementLinkSocket {
  const reader = createMessageReader()
  let corked = false

  socket.setNoDelay(true)
  socket.on('error', () => socket.destroy())
  socket.on('data', (chunk) => {
    try {
      for (const message of reader.push(chunk)) onMessage(message)
    } catch (err) {
      log('invalidMessage', { reason: String(err) })
      socket.destroy()
    }
  })

  return {
    send (message) {
      if (socket.destroyed) return true
      const bytes = encodeMessage(message)
      if (exceedsLengthLimit(bytes)) return false
      if (!corked) {
        corked = true
        socket.cork()
        setImmediate(() => {
          corked = false
          socket.uncork()
        })
      }
      socket.write(bytes)
      return true
    },
    close: () => socket.destroy(),
  }
}
