import { type Socket } from 'node:net'
import split2 from 'split2'

/** Maximum size of a message of the wire protocol, in bytes. */
export const MAX_MESSAGE_BYTES = 1024 * 1024
/** Bytes are handled as text with one character for each byte, so that no value is changed by decoding it. */
export const BYTE_ENCODING = 'latin1'

/** Calls back with each line of a connection, without its CR LF; one character of a line is one byte. */
export function readLines (socket: Socket, onLine: (line: string) => void): void {
  socket.setEncoding(BYTE_ENCODING)
  socket.pipe(split2('\r\n')).on('data', onLine)
}

/** Writes a text with one character for each byte. */
export function writeBytes (socket: Socket, text: string): void {
  socket.write(text, BYTE_ENCODING)
}

/** Returns the UTF-8 bytes of a text, one character for each byte. */
export function toByteText (text: string): string {
  return Buffer.from(text, 'utf8').toString(BYTE_ENCODING)
}

/** Splits a text at blanks into at most `count` fields; the last field is the rest of the text, unchanged. */
export function splitFields (text: string, count: number): readonly string[] {
  const fields: string[] = []
  let start = 0
  while (fields.length < count - 1) {
    const end = text.indexOf(' ', start)
    if (end < 0) break
    fields.push(text.slice(start, end))
    start = end + 1
  }
  return [...fields, text.slice(start)]
}
