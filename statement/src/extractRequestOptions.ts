/** Settings of one request, from the comment at its start or end, as in sqlcommenter: `briarpick_key='…'`. */
export interface RequestOptions {
  /** Idempotency key of a write. */
  readonly key?: string
  /** Token of a watermark, as returned after a write. */
  readonly token?: string
  /** Name of the session, for reads of its own writes on other connections. */
  readonly session?: string
  /** Oldest data that a read accepts, in ms. */
  readonly maxAgeMs?: number
  /** Time until the answer is of no more use, in ms. */
  readonly deadlineMs?: number
  /** True if a read must see every write acknowledged before it. */
  readonly current?: boolean
}

/** A statement's text without its comment, and what the comment asked for. */
export interface ExtractedOptions {
  readonly text: string
  readonly options: RequestOptions
}

const TRAILING = /\/\*((?:(?!\*\/)[\s\S])*)\*\/\s*;?\s*$/
const LEADING = /^\s*\/\*((?:(?!\*\/)[\s\S])*)\*\//
const PAIR = /briarpick_(\w+)\s*=\s*'((?:[^'\\]|\\.)*)'/g

const READERS: Readonly<Record<string, (value: string) => RequestOptions>> = {
  key: (value) => ({ key: value }),
  token: (value) => ({ token: value }),
  session: (value) => ({ session: value }),
  max_age: (value) => ({ maxAgeMs: parseDuration(value) }),
  deadline: (value) => ({ deadlineMs: parseDuration(value) }),
  current: (value) => ({ current: value === 'on' || value === 'true' }),
}

/** Names that a comment or `SET briarpick.…` may use. */
export const REQUEST_OPTION_NAMES = Object.keys(READERS)

/** Reads one option by name; undefined if there is no such option or its value makes no sense. */
export function parseRequestOption (name: string, value: string): RequestOptions | undefined {
  const reader = READERS[name]
  if (reader === undefined) return undefined
  const options = reader(value)
  return Object.values(options).some((entry) => Number.isNaN(entry)) ? undefined : options
}

/** Most texts whose comments are kept. */
const CACHE_ENTRIES = 1024
const cache = new Map<string, ExtractedOptions>()

/** Splits off a comment with briarpick options; other comments stay. Results are cached by text. */
export function extractRequestOptions (text: string): ExtractedOptions {
  if (!text.includes('briarpick_')) return { text, options: {} }
  const known = cache.get(text)
  if (known !== undefined) return known
  const read = splitComment(text)
  if (cache.size >= CACHE_ENTRIES) cache.clear()
  cache.set(text, read)
  return read
}

function splitComment (text: string): ExtractedOptions {
  const found = TRAILING.exec(text) ?? LEADING.exec(text)
  if (found === null || !found[1].includes('briarpick_')) return { text, options: {} }
  let options: RequestOptions = {}
  for (const [, name, value] of found[1].matchAll(PAIR)) {
    options = { ...options, ...parseRequestOption(name, decode(value)) }
  }
  return { text: text.replace(found[0], ' '), options }
}

function decode (value: string): string {
  try {
    return decodeURIComponent(value.replaceAll("\\'", "'"))
  } catch {
    return value
  }
}

const DURATION = /^(\d+)\s*(ms|s|min)?$/
const UNIT_MS: Readonly<Record<string, number>> = { ms: 1, s: 1000, min: 60_000 }

/** Reads a duration such as `500ms` or `2s`; a bare number is in ms. NaN if it is neither. */
export function parseDuration (value: string): number {
  const found = DURATION.exec(value.trim())
  return found === null ? NaN : Number(found[1]) * UNIT_MS[found[2] ?? 'ms']
}
