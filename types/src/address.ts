import { isIP } from 'node:net'

/** An IP endpoint. */
export interface Address {
  readonly host: string
  readonly port: number
}

const MAX_PORT = 65_535

/** Parses `host:port`, where the host is an IP address; undefined if the text is not of this form. */
export function parseAddress (text: string): Address | undefined {
  const colon = text.lastIndexOf(':')
  const address = { host: text.slice(0, colon), port: Number(text.slice(colon + 1)) }
  const isValid = isIP(address.host) !== 0 && Number.isInteger(address.port) && address.port >= 0 && address.port <= MAX_PORT
  return isValid ? address : undefined
}

/** Formats an address as `host:port`. */
export function formatAddress (address: Address): string {
  return `${address.host}:${address.port}`
}
