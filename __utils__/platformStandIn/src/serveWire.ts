import { type Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { type StandInGroup } from './createStandInGroup.js'
import { type StandInInstance } from './createStandInInstance.js'
import { createStatementHandlers } from './createStatementHandlers.js'
import { type StandInFault } from './standInRun.js'
import { MAX_MESSAGE_BYTES, splitFields, writeBytes } from './wireLines.js'

/** Server side of one connection. */
export interface WireConnection {
  /** Handles a line without its CR LF; one character is one byte. */
  handleLine: (line: string) => void
  close: () => void
}

/** Options of a connection. */
export interface ServeWireOptions {
  readonly instance: StandInInstance
  readonly group: StandInGroup
  readonly socket: Socket
  /** Number of the connection, unique at its instance. */
  readonly connection: number
  /** False once the instance has stopped, even if it was restarted. */
  readonly isServing: () => boolean
}

/** Serves one connection, one statement after the other. What has arrived runs even if the connection closes meanwhile. */
export function serveWire ({ instance, group, socket, connection, isServing }: ServeWireOptions): WireConnection {
  const handlers = createStatementHandlers({ instance, group, connection })
  let started = false
  let queue = Promise.resolve()

  function write (text: string): void {
    if (!socket.destroyed) writeBytes(socket, text)
  }

  function startUp (rest: string): void {
    const [service, peer = '', id] = rest.split(' ')
    started = service === group.service && (id === undefined || id === instance.id)
    if (started) write(handlers.open(peer))
    else socket.end(`ERROR MISROUTED ${instance.id}\r\n`)
  }

  async function runCommand (id: string, text: string): Promise<void> {
    const fault = instance.chooseFault(splitFields(text, 2)[0])
    if (fault?.delayMs !== undefined) await sleep(fault.delayMs)
    if (!isServing()) return
    const answer = fault?.refusal === undefined ? await handlers.run(id, text) : handlers.refuse(fault.refusal)
    if (fault?.answerDelayMs !== undefined) await sleep(fault.answerDelayMs)
    writeAnswer(answer, fault)
  }

  function writeAnswer (answer: string, fault: StandInFault | undefined): void {
    if (fault?.answer === undefined) {
      write(answer)
      return
    }
    if (fault.answer === 'cut') write(answer.slice(0, Math.ceil(answer.length / 2)))
    socket.destroySoon()
  }

  async function handleMessage (line: string): Promise<void> {
    const [messageType, rest = ''] = splitFields(line, 2)
    if (messageType === 'STARTUP') startUp(rest)
    if (messageType !== 'QUERY' || !started) return
    const [id, text = ''] = splitFields(rest, 2)
    await runCommand(id, text)
  }

  return {
    handleLine (line) {
      if (line.length > MAX_MESSAGE_BYTES) {
        socket.destroy()
        return
      }
      // If the instance stops during a commit, the caller gets no reply, as for any other statement on its connections.
      queue = queue.then(async () => await handleMessage(line)).catch(() => { socket.destroy() })
    },
    close () {
      queue = queue.then(handlers.rollBack)
    },
  }
}
