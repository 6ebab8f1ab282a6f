import { createHash, randomInt } from 'node:crypto'
import { type BackendKey } from '@briarpick/pg-caller'

const RANDOM_BITS = 15
const MAX_SECRET = 2 ** 31 - 1

/** 16 bits that tell proxies apart in a cancel request. */
export function proxyMark (proxy: string): number {
  return createHash('sha256').update(proxy).digest().readUInt16BE()
}

/** A new key for a caller of a proxy. The process id names the proxy, since a cancel request may come to any other. */
export function createCallerKey (mark: number): BackendKey {
  return { processId: mark * 2 ** RANDOM_BITS + randomInt(2 ** RANDOM_BITS), secret: randomInt(1, MAX_SECRET) }
}

/** The mark of the proxy that gave a key. */
export function markOf (key: BackendKey): number {
  return Math.floor(key.processId / 2 ** RANDOM_BITS)
}
