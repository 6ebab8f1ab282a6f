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

/** Creates the logger of a topic; shown when `DEBUG` matches `briarpick:<topic>`. */
export function createLogger (topic: string): Logger {
  const write = debug(`briarpick:${topic}`)
  return (event, fields) => {
    if (write.enabled) write('%s', formatEvent(event, fields))
  }
}

/** Turns on the topics that a pattern matches, as the `DEBUG` variable does. */
export function enableLogs (pattern: string): void {
  debug.enable(pattern)
}
