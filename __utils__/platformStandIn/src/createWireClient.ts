import net from 'node:net'
import { type Address } from '@briarpick/types'
import { readLines, splitFields, writeBytes } from './wireLines.js'

/** The reply to one statement; one character of its texts is one byte. */
export interface WireReply {
  readonly rows: readonly string[]
  /** Argument of COMPLETE: instance and position, or `-`. */
  readonly signature: string | null
  /** Error code; null if the statement succeeded. */
  readonly error: string | null
  /** Transaction state: I for idle, T for open, E for failed. */
  readonly state: string
}

/** A client of the platform's wire protocol. One character of a text that it sends is one byte; `toByteText` encodes other texts. */
export interface WireClient {
  /** Sends the text unchanged and resolves with the reply; rejects if the connection closes first. */
  query: (text: string, id?: string) => Promise<WireReply>
  close: () => void
}

let counter = 0

/** Creates a statement id that is unique across the running processes. */
export function newStatementId (): string {
  counter += 1
  return formatStatementId(counter)
}

/** True for an id that `newStatementId` has returned in this process. */
export function isIssuedStatementId (id: string): boolean {
  const prefix = process.pid.toString(16)
  const number = Number.parseInt(id.slice(prefix.length), 16)
  return number <= counter && id === formatStatementId(number)
}

function formatStatementId (number: number): string {
  return `${process.pid.toString(16)}${number.toString(16).padStart(8, '0')}`
}

/** Key of clients that name none. */
const DEFAULT_KEY = 'test'

/** Connects under a caller name. Rejects with the error code if the connection is refused. */
export function createWireClient (address: Address, callerName: string, { key = DEFAULT_KEY, timeoutMs = 4000 } = {}): Promise<WireClient> {
  return new Promise((resolve, reject) => {
    const socket = net.connect(address.port, address.host)
    const pendingQueries: Array<{ readonly done: (reply: WireReply) => void, readonly fail: (err: Error) => void }> = []
    let rows: string[] = []
    let signature: string | null = null
    let error: string | null = null
    let started = false
    const timer = setTimeout(() => socket.destroy(), timeoutMs)

    function ready (rest: string): void {
      if (!started) {
        started = true
        clearTimeout(timer)
        resolve(client)
        return
      }
      pendingQueries.shift()?.done({ rows, signature, error, state: rest.split(' ')[0] })
      rows = []
      signature = null
      error = null
    }

    const handlers: Readonly<Record<string, (rest: string) => void>> = {
      DATAROW: (rest) => { rows.push(rest) },
      COMPLETE: (rest) => { signature = rest },
      ERROR (rest) {
        error = rest.split(' ')[0]
        if (!started) reject(new Error(error))
      },
      READY: ready,
    }
    socket.on('error', () => socket.destroy())
    socket.on('close', () => {
      clearTimeout(timer)
      reject(new Error('closed'))
      for (const { fail } of pendingQueries.splice(0)) fail(new Error('closed'))
    })
    readLines(socket, (line) => {
      const [messageType, rest = ''] = splitFields(line, 2)
      handlers[messageType]?.(rest)
    })
    writeBytes(socket, `STARTUP ${callerName} ${key}\r\n`)

    const client: WireClient = {
      query: (text, id = newStatementId()) => new Promise((resolve, reject) => {
        if (socket.destroyed) {
          reject(new Error('closed'))
          return
        }
        pendingQueries.push({ done: resolve, fail: reject })
        writeBytes(socket, `QUERY ${id} ${text}\r\n`)
      }),
      close: () => socket.destroy(),
    }
  })
}
