/** An IP endpoint. */
export interface Address {
  readonly host: string
  readonly port: number
}

/** Writes an address as `host:port`. */
export function formatAddress (address: Address): string {
  return `${address.host}:${address.port}`
}
