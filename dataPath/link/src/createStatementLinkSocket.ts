import { type Socket } from 'node:net'
import { createLogger } from '@briarpick/logs'
import { createMessageReader, encodeMessage, type StatementLinkMessage } from './statementLinkCodec.js'

/** One end of a link. */
export interface StatementLinkSocket {
  /** Sends with all else of this turn of the event loop in one write. */
  send: (message: StatementLinkMessage) => void
  close: () => void
}

const log = createLogger('link')

/** Speaks the link's messages on a socket. A frame that can't be read ends it. */
export function createStatementLinkSocket (socket: Socket, onMessage: (message: StatementLinkMessage) => void): StatementLinkSocket {
  const reader = createMessageReader()
  let corked = false

  socket.setNoDelay(true)
  socket.on('error', () => socket.destroy())
  socket.on('data', (chunk) => {
    try {
      for (const message of reader.push(chunk)) onMessage(message)
    } catch (err) {
      log('badFrame', { reason: String(err) })
      socket.destroy()
    }
  })

  return {
    send (message) {
      if (socket.destroyed) return
      if (!corked) {
        corked = true
        socket.cork()
        setImmediate(() => {
          corked = false
          socket.uncork()
        })
      }
      socket.write(encodeMessage(message))
    },
    close: () => socket.destroy(),
  }
}
