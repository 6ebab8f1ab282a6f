import { Result } from 'true-myth'

/** Length up to which a text is parsed without a check, in characters: it has too few values to matter. */
const UNCHECKED_CHARACTERS = 64 * 1024
/** Deepest nesting of lists and objects. */
export const MAX_DEPTH = 64
/** Largest number of lists and objects: an entry with a few fields takes at least 64 characters, of 4 Mi that a document may have. */
export const MAX_CONTAINERS = 65_536
/** Largest number of values, names of fields not counted: a named one takes 16 characters or more. */
export const MAX_VALUES = 262_144

const QUOTE = 0x22
const COMMA = 0x2c
const OPENING_BRACKET = 0x5b
const BACKSLASH = 0x5c
const CLOSING_BRACKET = 0x5d
const OPENING_BRACE = 0x7b
const CLOSING_BRACE = 0x7d

/**
 * Parses a JSON text of another process. Fails with the reason, as the end of a sentence, if it is not JSON, or if it nests deeper or has
 * more values than any valid document: parsing such a text would take seconds, and a hundred times its length in memory.
 */
export function parseJson (text: string): Result<unknown, string> {
  const excess = text.length <= UNCHECKED_CHARACTERS ? undefined : findExcess(text)
  if (excess !== undefined) return Result.err(excess)
  try {
    return Result.ok(JSON.parse(text) as unknown)
  } catch {
    return Result.err('is not JSON')
  }
}

/** Counts what is outside of strings; the text need not be valid. */
function findExcess (text: string): string | undefined {
  let depth = 0
  let containers = 0
  let separators = 0
  for (let i = 0; i < text.length; i++) {
    const character = text.charCodeAt(i)
    if (character === QUOTE) {
      i = endOfString(text, i)
    } else if (character === COMMA) {
      separators += 1
    } else if (character === OPENING_BRACKET || character === OPENING_BRACE) {
      depth += 1
      containers += 1
      if (depth > MAX_DEPTH) return `nests deeper than ${MAX_DEPTH} levels`
      if (containers > MAX_CONTAINERS) return `has more than ${MAX_CONTAINERS} lists and objects`
    } else if (character === CLOSING_BRACKET || character === CLOSING_BRACE) {
      depth -= 1
    }
    // Each value but the first of a list or an object follows a comma.
    if (separators + containers > MAX_VALUES) return `has more than ${MAX_VALUES} values`
  }
  return undefined
}

/** Index of the quote that ends a string, or the length of the text if none does. */
function endOfString (text: string, start: number): number {
  for (let i = start + 1; i < text.length; i++) {
    const character = text.charCodeAt(i)
    if (character === BACKSLASH) i += 1
    else if (character === QUOTE) return i
  }
  return text.length
}
