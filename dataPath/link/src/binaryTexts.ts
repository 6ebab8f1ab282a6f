/** Encoding of texts that UTF-8 cannot carry: strings with lone surrogates become binary, as UTF-16. */
const ENCODING = 'utf16le'

/** Whether all texts in arrays and objects are well-formed, so that UTF-8 carries them unchanged. */
export function isWellFormed (value: unknown): boolean {
  if (typeof value === 'string') return value.isWellFormed()
  if (typeof value !== 'object' || value === null) return true
  return Array.isArray(value) ? value.every(isWellFormed) : Object.values(value).every(isWellFormed)
}

/** Returns a copy of arrays and objects in which texts that are not well-formed are binary. */
export function toBinaryTexts (value: unknown): unknown {
  if (typeof value === 'string') return value.isWellFormed() ? value : Buffer.from(value, ENCODING)
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
