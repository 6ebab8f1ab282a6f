import { type Socket } from 'node:net'

/** Writes to a socket; false asks to wait for `drain`. */
export type CorkedWriter = (bytes: Buffer) => boolean

/** Creates a writer that sends what is written in one turn of the event loop with one system call. */
export function createCorkedWriter (socket: Socket): CorkedWriter {
  let gathering = false

  function send (): void {
    gathering = false
    socket.uncork()
  }

  return (bytes) => {
    if (!gathering) {
      gathering = true
      socket.cork()
      setImmediate(send)
    }
    return socket.write(bytes)
  }
}
