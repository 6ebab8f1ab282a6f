import debug from 'debug'

/** A value of a log field. */
export type LogValue = string | number | boolean | null | undefined

/** Writes one event as one line of key=value pairs. */
export type Logger = (event: string, fields?: Readonly<Record<string, LogValue>>) => void

const PLAIN = /^[\w.:/@+-]+$/

function formatValue (value: LogValue): string {
  const text = String(value)
  return PLAIN.test(text) ? text : JSON.stringify(text)
}

/** Formats an event as `event=name key=value …`; fields without a value are left out. */
export function formatEvent (event: string, fields: Readonly<Record<string, LogValue>> = {}): string {
  const pairs = Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => `${key}=${formatValue(value)}`)
  return [`event=${formatValue(event)}`, ...pairs].join(' ')
}

/** Takes events of all topics, beside the person's terminal. */
export type LogSink = (topic: string, event: string, fields: Readonly<Record<string, LogValue>>) => void

let sink: LogSink | undefined

/** Sends the events of all topics to a sink. */
export function setLogSink (next: LogSink | undefined): void {
  sink = next
}

/** Creates the logger of a topic; shown on the terminal when `DEBUG` matches `briarpick:<topic>`. */
export function createLogger (topic: string): Logger {
  const write = debug(`briarpick:${topic}`)
  return (event, fields = {}) => {
    sink?.(topic, event, fields)
    if (write.enabled) write('%s', formatEvent(event, fields))
  }
}

/** Turns on the topics that a pattern matches, as the `DEBUG` variable does. */
export function enableLogs (pattern: string): void {
  debug.enable(pattern)
}
