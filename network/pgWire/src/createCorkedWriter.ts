import { type Socket } from 'node:net'

/** Writes to a socket. Returns false if the caller should wait for `drain` before it writes more. */
export type CorkedWriter = (bytes: Buffer) => boolean

/** Creates a writer that combines the writes of one turn of the event loop into one system call. */
export function createCorkedWriter (socket: Socket): CorkedWriter {
  let corked = false

  function uncork (): void {
    corked = false
    socket.uncork()
  }

  return (bytes) => {
    if (!corked) {
      corked = true
      socket.cork()
      setImmediate(uncork)
    }
    return socket.write(bytes)
  }
}
