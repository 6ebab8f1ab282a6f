import pino from 'pino'
import { boundFields } from './boundFields.js'
import { createLineLimit } from './createLineLimit.js'
import { type LogSink } from './createLogger.js'

/** Origin of the lines and limits of the output. */
export interface JsonSinkOptions {
  readonly vm: string
  readonly process: string
  /** Maximum lines per second for each topic, event and reason; further lines are dropped and counted. */
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
/** Time for which the exit of the process waits for a full output to accept the last lines; well within the stop timeout of a platform. */
const EXIT_FLUSH_TIMEOUT_MS = 300

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
  const maxBufferBytes = opts.maxBufferBytes ?? DEFAULT_MAX_BUFFER_BYTES
  const destination = createDestination(maxBufferBytes)
  const logger = pino({ base: { vm: opts.vm, process: opts.process }, timestamp: pino.stdTimeFunctions.isoTime }, destination)
  const limit = createLineLimit(opts.linesPerSecond ?? DEFAULT_LINES_PER_SECOND)
  let droppedLines = 0
  destination.on('drop', () => { droppedLines += 1 })
  // A closed output accepts no more lines; the process continues without it.
  destination.on('error', () => { droppedLines += 1 })

  return {
    sink (topic, event, fields) {
      const bounded = boundFields(fields)
      const omitted = limit.admit(`${topic}/${event}`, String(bounded.reason ?? ''), performance.now())
      if (omitted === undefined) droppedLines += 1
      else logger.info(omitted === 0 ? { topic, event, ...bounded } : { topic, event, ...bounded, omitted })
    },
    droppedLines: () => droppedLines,
  }
}
