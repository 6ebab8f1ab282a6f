/** Encoding of texts that a packed string does not carry unchanged: they become binary, as UTF-16. */
const ENCODING = 'utf16le'
/** Dropped from the start of a packed string by its reader. */
const BYTE_ORDER_MARK = '\ufeff'

/** Whether packed strings carry all texts in arrays and objects unchanged. */
export function hasPlainTexts (value: unknown): boolean {
  if (typeof value === 'string') return isPlain(value)
  if (typeof value !== 'object' || value === null) return true
  return Array.isArray(value) ? value.every(hasPlainTexts) : Object.values(value).every(hasPlainTexts)
}

function isPlain (text: string): boolean {
  return text.isWellFormed() && !text.startsWith(BYTE_ORDER_MARK)
}

/** Returns a copy of arrays and objects in which all other texts are binary. */
export function toBinaryTexts (value: unknown): unknown {
  if (typeof value === 'string') return isPlain(value) ? value : Buffer.from(value, ENCODING)
  return mapEach(value, toBinaryTexts)
}

/** Returns a copy of arrays and objects in which binary values are texts again. */
export function fromBinaryTexts (value: unknown): unknown {
  if (value instanceof Uint8Array) return Buffer.from(value).toString(ENCODING)
  return mapEach(value, fromBinaryTexts)
}

function mapEach (value: unknown, map: (value: unknown) => unknown): unknown {
  if (typeof value !== 'object' || value === null) return value
  if (Array.isArray(value)) return value.map(map)
  return Object.fromEntries(Object.entries(value).map(([name, field]) => [name, map(field)]))
}
