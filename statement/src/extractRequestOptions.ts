/** Options of one request, given in a comment at its start or end in the format of sqlcommenter: `briarpick_key='…'`. */
export interface RequestOptions {
  /** Idempotency key of a write. */
  readonly key?: string
  /** Watermark token, as returned after a write. */
  readonly token?: string
  /** Session name, shared by connections that must see each other's writes. */
  readonly session?: string
  /** Maximum staleness of a read, in ms. */
  readonly maxAgeMs?: number
  /** Time after which the response is useless to the caller, in ms. */
  readonly deadlineMs?: number
  /** True if a read must see every write acknowledged before it. */
  readonly current?: boolean
}

/** A statement's text without the option comment, and the options. */
export interface ExtractedOptions {
  readonly text: string
  readonly options: RequestOptions
}

/** A comment without another one in it, at the end of a text. White space is what PostgreSQL takes for it. */
const TRAILING_COMMENT = /\/\*((?:(?!\*\/|\/\*)[\s\S])*)\*\/[ \t\n\r\f\v]*;?[ \t\n\r\f\v]*$/
const LEADING_COMMENT = /^[ \t\n\r\f\v]*\/\*((?:(?!\*\/|\/\*)[\s\S])*)\*\//
const LINE_END = /[\r\n]/
const OPTION_PREFIX = 'briarpick_'
const OPTION_PAIR = /briarpick_(\w+)\s*=\s*'((?:[^'\\]|\\.)*)'/g

const OPTION_PARSERS: Readonly<Record<string, (value: string) => RequestOptions>> = {
  key: (value) => ({ key: value }),
  token: (value) => ({ token: value }),
  session: (value) => ({ session: value }),
  max_age: (value) => ({ maxAgeMs: parseDuration(value) }),
  deadline: (value) => ({ deadlineMs: parseDuration(value) }),
  current: (value) => ({ current: value === 'on' || value === 'true' }),
}

/** Names of the options that a comment or `SET briarpick.…` may set. */
export const REQUEST_OPTION_NAMES = Object.keys(OPTION_PARSERS)

/** Parses the value of one option; undefined if there is no such option or its value is invalid. */
export function parseRequestOption (name: string, value: string): RequestOptions | undefined {
  if (!Object.hasOwn(OPTION_PARSERS, name)) return undefined
  const options = OPTION_PARSERS[name](value)
  return Object.values(options).some((entry) => Number.isNaN(entry)) ? undefined : options
}

/** Maximum number of statement texts whose options are cached. */
const MAX_CACHED_TEXTS = 1024
const cache = new Map<string, ExtractedOptions>()

/** Removes a comment with briarpick options and parses them; other comments stay in the text. Results are cached by text. */
export function extractRequestOptions (text: string): ExtractedOptions {
  if (!text.includes(OPTION_PREFIX)) return { text, options: {} }
  const cached = cache.get(text)
  if (cached !== undefined) return cached
  const extracted = extractFromComment(text)
  if (cache.size >= MAX_CACHED_TEXTS) cache.clear()
  cache.set(text, extracted)
  return extracted
}

function extractFromComment (text: string): ExtractedOptions {
  const match = [findTrailingComment(text), LEADING_COMMENT.exec(text)].find(hasOptions)
  if (match === undefined) return { text, options: {} }
  let options: RequestOptions = {}
  for (const [, name, value] of match[1].matchAll(OPTION_PAIR)) {
    options = { ...options, ...parseRequestOption(name, decodeOptionValue(value)) }
  }
  return { text: `${text.slice(0, match.index)} ${text.slice(match.index + match[0].length)}`, options }
}

/** Finds the comment at the end of a text. A line end within it may end a line comment, in which the first part of it then is. */
function findTrailingComment (text: string): RegExpExecArray | null {
  const match = TRAILING_COMMENT.exec(text)
  return match !== null && LINE_END.test(match[1]) && text.slice(0, match.index).includes('--') ? null : match
}

function hasOptions (comment: RegExpExecArray | null): comment is RegExpExecArray {
  return comment?.[1].includes(OPTION_PREFIX) === true
}

function decodeOptionValue (value: string): string {
  try {
    return decodeURIComponent(value.replaceAll("\\'", "'"))
  } catch {
    return value
  }
}

const DURATION_PATTERN = /^(\d+)\s*(ms|s|min)?$/
const UNIT_MS: Readonly<Record<string, number>> = { ms: 1, s: 1000, min: 60_000 }

/** Parses a duration such as `500ms`, `2s` or `1min`, or a plain number of ms; returns ms, or NaN if the value is invalid. */
export function parseDuration (value: string): number {
  const match = DURATION_PATTERN.exec(value.trim())
  const ms = match === null ? NaN : Number(match[1]) * UNIT_MS[match[2] ?? 'ms']
  return ms <= Number.MAX_SAFE_INTEGER ? ms : NaN
}
