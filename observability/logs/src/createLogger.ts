import debug from 'debug'

/** A value of a log field. */
export type LogValue = string | number | boolean | null | undefined

/** Fields of an event by name. */
export type LogFields = Readonly<Record<string, LogValue>>

/** Logs an event with its fields. */
export type Logger = (event: string, fields?: LogFields) => void

const UNQUOTED_PATTERN = /^[\w.:/@+-]+$/
/** Characters that JSON leaves as they are and a terminal may obey: control and format characters, line and paragraph separators. */
const INVISIBLE_PATTERN = /[\p{Cc}\p{Cf}\p{Zl}\p{Zp}]/gu

function formatValue (value: LogValue): string {
  const text = String(value)
  return UNQUOTED_PATTERN.test(text) ? text : JSON.stringify(text).replaceAll(INVISIBLE_PATTERN, escapeCharacter)
}

function escapeCharacter (character: string): string {
  return character.split('').map((unit) => `\\u${unit.charCodeAt(0).toString(16).padStart(4, '0')}`).join('')
}

/** Formats an event as `event=name key=value …`; undefined fields are omitted. */
export function formatEvent (event: string, fields: LogFields = {}): string {
  const pairs = Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => `${key}=${formatValue(value)}`)
  return [`event=${formatValue(event)}`, ...pairs].join(' ')
}

/** Receives the events of all topics, in addition to the `DEBUG` output. */
export type LogSink = (topic: string, event: string, fields: LogFields) => void

let sink: LogSink | undefined

/** Sets the sink for the events of all topics; undefined removes it. */
export function setLogSink (next: LogSink | undefined): void {
  sink = next
}

/** Creates a logger for a topic. Events also go to standard error as key=value lines if `DEBUG` matches `briarpick:<topic>`. */
export function createLogger (topic: string): Logger {
  const write = debug(`briarpick:${topic}`)
  return (event, fields = {}) => {
    sink?.(topic, event, fields)
    if (write.enabled) write('%s', formatEvent(event, fields))
  }
}

/** Enables the `DEBUG` output of all topics that match a pattern, like the environment variable. */
export function enableLogs (pattern: string): void {
  debug.enable(pattern)
}
