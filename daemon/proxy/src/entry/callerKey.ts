import { createHash, randomInt } from 'node:crypto'
import { type BackendKey } from '@briarpick/pg-caller'

/** Number of random low bits of a process id. With the 16 bits of the proxy hash above them, the id is a non-negative int32. */
const RANDOM_BITS = 15
/** Maximum number of keys in use: most of the process ids, so that an unused one is found in some ten attempts. */
const MAX_KEYS = 30_000
/** Exclusive upper bound of a secret, which is a positive int32. */
const MAX_SECRET = 2 ** 31 - 1

/** 16-bit hash of a proxy's name and incarnation, which identifies it in cancel requests. */
export function hashProxy (proxy: string): number {
  return createHash('sha256').update(proxy).digest().readUInt16BE()
}

/** The keys of a proxy's callers, by which callers are told apart and cancel requests are checked. */
export interface CallerKeys {
  /** Creates a key with a process id that no other key in use has; undefined if all are in use. */
  take: () => BackendKey | undefined
  /** Records that a key is no longer in use. */
  release: (key: BackendKey) => void
}

/** Creates the keys of a proxy. A process id contains the proxy hash, since a cancel request may arrive at any proxy. */
export function createCallerKeys (proxyHash: number): CallerKeys {
  const used = new Set<number>()

  function unusedProcessId (): number {
    for (;;) {
      const processId = proxyHash * 2 ** RANDOM_BITS + randomInt(2 ** RANDOM_BITS)
      if (!used.has(processId)) return processId
    }
  }

  return {
    take () {
      if (used.size >= MAX_KEYS) return undefined
      const key = { processId: unusedProcessId(), secret: randomInt(1, MAX_SECRET) }
      used.add(key.processId)
      return key
    },
    release (key) {
      used.delete(key.processId)
    },
  }
}

/** The hash of the proxy that issued a key. */
export function proxyHashOf (key: BackendKey): number {
  return Math.floor(key.processId / 2 ** RANDOM_BITS)
}
