import pino from 'pino'
import { type LogSink, type LogValue } from './createLogger.js'

/** Options of a sink of JSON lines. */
export interface JsonSinkOptions {
  readonly vm: string
  readonly process: string
  /** Lines of one event that are written in a second; the rest is counted. */
  readonly linesPerSecond?: number
  /** Bytes that may wait for a slow output; what comes beyond is counted. */
  readonly maxBufferBytes?: number
}

/** A sink that counts what it leaves out. */
export interface JsonSink {
  readonly sink: LogSink
  /** Lines left out since the start. */
  droppedLines: () => number
}

/** Enough to see a pattern, and under 1% of a small VM's processor when every reason fires at once. */
const DEFAULT_LINES_PER_SECOND = 20
const DEFAULT_MAX_BUFFER_BYTES = 256 * 1024
const WINDOW_MS = 1000
/** Time for which an end waits for a full output to take the last lines; well within a platform's time for a stop. */
const LAST_LINES_MS = 300

interface Window {
  readonly since: number
  lines: number
  leftOut: number
}

/** Buffered standard output; a full output that nobody reads delays neither the process nor its end. */
function createDestination (maxBufferBytes: number): ReturnType<typeof pino.destination> {
  let retryUntil = Infinity
  const destination = pino.destination({
    // Opening Node's own stream makes a pipe or a socket non-blocking; a blocked write would hold the process at its end for good.
    fd: process.stdout.fd,
    sync: false,
    maxLength: maxBufferBytes,
    retryEAGAIN: () => performance.now() < retryUntil,
  })
  // Before the flush of pino's own, which would throw when the output takes no more.
  process.prependOnceListener('exit', () => {
    retryUntil = performance.now() + LAST_LINES_MS
    try {
      destination.flushSync()
    } catch {
      // The output took no more in time: nobody reads it, so there is nowhere left to say so.
    }
    destination.destroy()
  })
  return destination
}

/** Writes one JSON line for each event, without ever waiting for the output. */
export function createJsonSink (opts: JsonSinkOptions): JsonSink {
  const linesPerSecond = opts.linesPerSecond ?? DEFAULT_LINES_PER_SECOND
  const maxBufferBytes = opts.maxBufferBytes ?? DEFAULT_MAX_BUFFER_BYTES
  const destination = createDestination(maxBufferBytes)
  const logger = pino({ base: { vm: opts.vm, process: opts.process }, timestamp: pino.stdTimeFunctions.isoTime }, destination)
  const windows = new Map<string, Window>()
  let leftOut = 0
  destination.on('drop', () => { leftOut += 1 })
  // An output that was closed takes nothing more; the process goes on.
  destination.on('error', () => { leftOut += 1 })

  function admit (key: string): number | undefined {
    const now = performance.now()
    const window = windows.get(key)
    if (window === undefined || now - window.since > WINDOW_MS) {
      windows.set(key, { since: now, lines: 1, leftOut: 0 })
      return window?.leftOut ?? 0
    }
    if (window.lines < linesPerSecond) {
      window.lines += 1
      return 0
    }
    window.leftOut += 1
    leftOut += 1
    return undefined
  }

  return {
    sink (topic: string, event: string, fields: Readonly<Record<string, LogValue>>) {
      const omitted = admit(`${topic}/${event}/${fields.reason ?? ''}`)
      if (omitted === undefined) return
      logger.info(omitted === 0 ? { topic, event, ...fields } : { topic, event, ...fields, omitted })
    },
    droppedLines: () => leftOut,
  }
}
