import { type Socket } from 'node:net'
import { createCorkedWriter } from '@briarpick/pg-wire'
import { toProtocolError, writeError } from './toProtocolError.js'
import { type CallerBatch, createBatchReader } from './createBatchReader.js'

/** Options of a caller channel. */
export interface CallerChannelOptions {
  readonly socket: Socket
  /** Bytes received before the channel was created. */
  readonly pipelinedBytes: Buffer
  /** Maximum size of a batch, in bytes. */
  readonly maxBatchBytes: number
  /** Handles a batch; the next one is passed once the promise resolves. The connection is closed if it rejects. */
  readonly onBatch: (batch: CallerBatch) => Promise<void>
  readonly onClose: () => void
}

/** Connection of a caller after start-up. The channel owns the socket. */
export interface CallerChannel {
  /** Writes bytes; returns a promise if the write buffer is full, resolved once it has drained or the connection is closed. */
  write: (bytes: Buffer) => Promise<void> | undefined
  /** Number of batches that are queued or being handled. */
  pending: () => number
  /** Closes the connection after all written bytes, and `finalBytes`, are sent. */
  end: (finalBytes?: Buffer) => void
}

/** Reading from the socket pauses while more batches than this are queued. */
const MAX_QUEUED_BATCHES = 16

/** Creates a channel that passes the batches of a caller to `onBatch`, one at a time. */
export function createCallerChannel (opts: CallerChannelOptions): CallerChannel {
  const { socket } = opts
  const read = createBatchReader({ maxBytes: opts.maxBatchBytes })
  const writeCorked = createCorkedWriter(socket)
  const queue: CallerBatch[] = []
  let processing = false
  let terminateReceived = false

  function receive (chunk: Buffer): void {
    try {
      const { batches, terminated } = read(chunk)
      queue.push(...batches)
      if (terminated) terminateReceived = true
    } catch (err) {
      end(writeError(toProtocolError(err), 'FATAL'))
      return
    }
    if (queue.length > MAX_QUEUED_BATCHES) socket.pause()
    processQueue().catch(() => socket.destroy())
  }

  async function processQueue (): Promise<void> {
    if (processing) return
    processing = true
    for (let batch = queue.shift(); batch !== undefined && !socket.destroyed; batch = queue.shift()) {
      await opts.onBatch(batch)
      if (socket.isPaused() && queue.length <= MAX_QUEUED_BATCHES) socket.resume()
    }
    processing = false
    if (terminateReceived) socket.end()
  }

  function end (finalBytes?: Buffer): void {
    if (finalBytes === undefined) socket.end()
    else socket.end(finalBytes)
  }

  socket.on('data', receive)
  socket.on('close', opts.onClose)
  if (opts.pipelinedBytes.length > 0) receive(opts.pipelinedBytes)
  socket.resume()

  return {
    write (bytes) {
      if (socket.destroyed || writeCorked(bytes)) return undefined
      return waitForDrain(socket)
    },
    pending: () => queue.length + (processing ? 1 : 0),
    end,
  }
}

function waitForDrain (socket: Socket): Promise<void> {
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
