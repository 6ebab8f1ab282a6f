import { isIP } from 'node:net'

/** An IP endpoint. */
export interface Address {
  readonly host: string
  readonly port: number
}

const MAX_PORT = 65_535
const PORT_PATTERN = /^\d{1,5}$/

/** Parses `host:port`, where the host is an IP address; undefined if the text is not of this form. */
export function parseAddress (text: string): Address | undefined {
  const colon = text.lastIndexOf(':')
  const port = text.slice(colon + 1)
  const address = { host: text.slice(0, colon), port: Number(port) }
  return isIP(address.host) !== 0 && PORT_PATTERN.test(port) && address.port <= MAX_PORT ? address : undefined
}

/** True if both are the same endpoint; false if `b` is absent. */
export function isSameAddress (a: Address, b: Address | undefined): boolean {
  return a.host === b?.host && a.port === b.port
}

/** Formats an address as `host:port`. */
export function formatAddress (address: Address): string {
  return `${address.host}:${address.port}`
}
