import { type LogFields } from './createLogger.js'

/** Maximum length of a string value, in UTF-16 code units; callers and targets choose ids and error texts of up to 1 MiB. */
export const MAX_VALUE_LENGTH = 4096

/** Cuts values that are too long, and names their fields in the field `cut`. */
export function boundFields (fields: LogFields): LogFields {
  const cut = Object.keys(fields).filter((key) => isTooLong(fields[key]))
  if (cut.length === 0) return fields
  return { ...fields, ...Object.fromEntries(cut.map((key) => [key, String(fields[key]).slice(0, MAX_VALUE_LENGTH)])), cut: cut.join() }
}

function isTooLong (value: LogFields[string]): boolean {
  return typeof value === 'string' && value.length > MAX_VALUE_LENGTH
}
