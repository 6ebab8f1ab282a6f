import { Result } from 'true-myth'

/** Length up to which a text is parsed without a check, in characters: it cannot exceed the limits below. */
const UNCHECKED_CHARACTERS = 256 * 1024
/** Largest number of lists and objects, whether side by side or in one another. */
export const MAX_CONTAINERS = UNCHECKED_CHARACTERS / 2
/** Largest number of values, names of fields not counted. */
export const MAX_VALUES = UNCHECKED_CHARACTERS

const QUOTE = 0x22
const COMMA = 0x2c
const OPENING_BRACKET = 0x5b
const BACKSLASH = 0x5c
const OPENING_BRACE = 0x7b

/**
 * Parses a JSON text of another process. Fails with the reason, as the end of a sentence, if it is not JSON, or if it has too many values
 * to be parsed in time: parsing 4 MiB of brackets takes a second, and some fifty times their length in memory.
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
  let containers = 0
  let separators = 0
  for (let i = 0; i < text.length; i++) {
    const character = text.charCodeAt(i)
    if (character === QUOTE) {
      i = endOfString(text, i)
    } else if (character === COMMA) {
      separators += 1
    } else if (character === OPENING_BRACKET || character === OPENING_BRACE) {
      containers += 1
      if (containers > MAX_CONTAINERS) return `has more than ${MAX_CONTAINERS} lists and objects`
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
