import { type Socket } from 'node:net'
import { createCorkedWriter } from '@briarpick/pg-wire'
import { toBriarpickError, writeError } from './protocolFailure.js'
import { type CallerBatch, createBatchReader } from './createBatchReader.js'

/** Options of a caller's channel. */
export interface CallerChannelOptions {
  readonly socket: Socket
  readonly pipelinedBytes: Buffer
  /** Longest batch in bytes. */
  readonly maxBatchBytes: number
  /** Handles one batch after the other. */
  readonly onBatch: (batch: CallerBatch) => Promise<void>
  readonly onClose: () => void
}

/** A caller's connection after start-up. The channel owns its socket. */
export interface CallerChannel {
  /** Sends bytes; resolves once the caller's buffer has room. */
  write: (bytes: Buffer) => Promise<void> | undefined
  /** Number of batches read and not yet answered. */
  pending: () => number
  /** Ends after what was written is sent. */
  end: (last?: Buffer) => void
}

/** Batches read ahead of the one at work before reading pauses. */
const MAX_READ_AHEAD = 16

/** Reads batches from a caller one by one. */
export function createCallerChannel (opts: CallerChannelOptions): CallerChannel {
  const { socket } = opts
  const read = createBatchReader({ maxBytes: opts.maxBatchBytes })
  const send = createCorkedWriter(socket)
  const queue: CallerBatch[] = []
  let working = false
  let ended = false

  function receive (chunk: Buffer): void {
    try {
      const { batches, terminated } = read(chunk)
      queue.push(...batches)
      if (terminated) ended = true
    } catch (err) {
      end(writeError(toBriarpickError(err), 'FATAL'))
      return
    }
    if (queue.length > MAX_READ_AHEAD) socket.pause()
    work().catch(() => socket.destroy())
  }

  async function work (): Promise<void> {
    if (working) return
    working = true
    for (let batch = queue.shift(); batch !== undefined && !socket.destroyed; batch = queue.shift()) {
      await opts.onBatch(batch)
      if (socket.isPaused() && queue.length <= MAX_READ_AHEAD) socket.resume()
    }
    working = false
    if (ended) socket.end()
  }

  function end (last?: Buffer): void {
    if (last === undefined) socket.end()
    else socket.end(last)
  }

  socket.on('data', receive)
  socket.on('close', opts.onClose)
  if (opts.pipelinedBytes.length > 0) receive(opts.pipelinedBytes)
  socket.resume()

  return {
    write (bytes) {
      if (socket.destroyed || send(bytes)) return undefined
      return drained(socket)
    },
    pending: () => queue.length + (working ? 1 : 0),
    end,
  }
}

function drained (socket: Socket): Promise<void> {
  return new Promise((resolve) => {
    const done = () => {
      socket.off('drain', done)
      socket.off('close', done)
      resolve()
    }
    socket.on('drain', done)
    socket.on('close', done)
  })
}
