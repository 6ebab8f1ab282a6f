import { type LogPosition } from '@briarpick/types'

const TOKEN = /^bp1\.(\d{1,15})\.(\d{1,15})$/

/** Writes a watermark as a token that a caller may present on any proxy. */
export function formatToken (position: LogPosition): string {
  return `bp1.${position.term}.${position.offset}`
}

/** Reads a token; undefined if it is none. */
export function readToken (token: string): LogPosition | undefined {
  const found = TOKEN.exec(token)
  return found === null ? undefined : { term: Number(found[1]), offset: Number(found[2]) }
}
