import { createHash, randomInt } from 'node:crypto'
import { type BackendKey } from '@briarpick/pg-caller'

/** Number of random low bits of a process id. With the 16 bits of the proxy hash above them, the id is a non-negative int32. */
const RANDOM_BITS = 15
/** Exclusive upper bound of a secret, which is a positive int32. */
const MAX_SECRET = 2 ** 31 - 1

/** 16-bit hash of a proxy's name and incarnation, which identifies it in cancel requests. */
export function hashProxy (proxy: string): number {
  return createHash('sha256').update(proxy).digest().readUInt16BE()
}

/** Creates a caller's key. Its process id contains the proxy hash, since a cancel request may arrive at any proxy. */
export function createCallerKey (proxyHash: number): BackendKey {
  return { processId: proxyHash * 2 ** RANDOM_BITS + randomInt(2 ** RANDOM_BITS), secret: randomInt(1, MAX_SECRET) }
}

/** The hash of the proxy that issued a key. */
export function proxyHashOf (key: BackendKey): number {
  return Math.floor(key.processId / 2 ** RANDOM_BITS)
}
