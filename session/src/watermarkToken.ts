import { type LogPosition } from '@briarpick/types'

const TOKEN = /^bp1\.(\d{1,15})\.(\d{1,15})$/

/** Formats a watermark as a token that the caller may present to any proxy. */
export function formatToken (position: LogPosition): string {
  return `bp1.${position.term}.${position.offset}`
}

/** Parses a token; undefined if it is malformed. */
export function readToken (token: string): LogPosition | undefined {
  const found = TOKEN.exec(token)
  return found === null ? undefined : { term: Number(found[1]), offset: Number(found[2]) }
}
