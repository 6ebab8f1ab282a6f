import pino from 'pino'
import { type LogSink, type LogValue } from './createLogger.js'

/** Origin of the lines and limits of the output. */
export interface JsonSinkOptions {
  readonly vm: string
  readonly process: string
  /** Maximum lines per second for each combination of topic, event and reason; further lines are dropped and counted. */
  readonly linesPerSecond?: number
  /** Maximum bytes buffered for a slow output; further lines are dropped and counted. */
  readonly maxBufferBytes?: number
}

/** A log sink that counts the lines it drops. */
export interface JsonSink {
  readonly sink: LogSink
  /** Number of lines dropped since the sink was created. */
  droppedLines: () => number
}

/** Enough lines to recognize a pattern, at less than 1% of a small VM's CPU even if every reason is logged at once. */
const DEFAULT_LINES_PER_SECOND = 20
const DEFAULT_MAX_BUFFER_BYTES = 256 * 1024
const WINDOW_MS = 1000
/** Time for which the exit of the process waits for a full output to accept the last lines; well within the stop timeout of a platform. */
const EXIT_FLUSH_TIMEOUT_MS = 300

/** Lines of one topic, event and reason within a window of `WINDOW_MS`. */
interface RateLimitWindow {
  readonly startedAtMs: number
  lines: number
  droppedLines: number
}

/** Creates a buffered writer to standard output. An output that nobody reads delays neither the process nor its exit. */
function createDestination (maxBufferBytes: number): ReturnType<typeof pino.destination> {
  let retryDeadlineMs = Infinity
  const destination = pino.destination({
    // Accessing `process.stdout` makes a pipe or a socket non-blocking; a blocking write would keep the process from ever exiting.
    fd: process.stdout.fd,
    sync: false,
    maxLength: maxBufferBytes,
    retryEAGAIN: () => performance.now() < retryDeadlineMs,
  })
  // Runs before pino's own exit handler, whose flush throws if the output accepts no more data.
  process.prependOnceListener('exit', () => {
    retryDeadlineMs = performance.now() + EXIT_FLUSH_TIMEOUT_MS
    try {
      destination.flushSync()
    } catch {
      // The output did not accept the data in time. Nobody reads it, so the failure cannot be logged either.
    }
    destination.destroy()
  })
  return destination
}

/** Creates a sink that writes one JSON line per event to standard output and never blocks on it. */
export function createJsonSink (opts: JsonSinkOptions): JsonSink {
  const linesPerSecond = opts.linesPerSecond ?? DEFAULT_LINES_PER_SECOND
  const maxBufferBytes = opts.maxBufferBytes ?? DEFAULT_MAX_BUFFER_BYTES
  const destination = createDestination(maxBufferBytes)
  const logger = pino({ base: { vm: opts.vm, process: opts.process }, timestamp: pino.stdTimeFunctions.isoTime }, destination)
  const windows = new Map<string, RateLimitWindow>()
  let droppedLines = 0
  destination.on('drop', () => { droppedLines += 1 })
  // A closed output accepts no more lines; the process continues without it.
  destination.on('error', () => { droppedLines += 1 })

  /**
   * Applies the rate limit to a line with this key. Returns undefined if the line must be dropped. Otherwise, for the first line of
   * a window, returns the number of lines dropped in the key's previous window; for all further lines, 0.
   */
  function admit (key: string): number | undefined {
    const now = performance.now()
    const window = windows.get(key)
    if (window === undefined || now - window.startedAtMs > WINDOW_MS) {
      windows.set(key, { startedAtMs: now, lines: 1, droppedLines: 0 })
      return window?.droppedLines ?? 0
    }
    if (window.lines < linesPerSecond) {
      window.lines += 1
      return 0
    }
    window.droppedLines += 1
    droppedLines += 1
    return undefined
  }

  return {
    sink (topic: string, event: string, fields: Readonly<Record<string, LogValue>>) {
      const omitted = admit(`${topic}/${event}/${fields.reason ?? ''}`)
      if (omitted === undefined) return
      logger.info(omitted === 0 ? { topic, event, ...fields } : { topic, event, ...fields, omitted })
    },
    droppedLines: () => droppedLines,
  }
}
