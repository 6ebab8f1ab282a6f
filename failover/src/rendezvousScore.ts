const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193

/** Returns the score of a proxy for a database in rendezvous hashing, an unsigned 32-bit integer: FNV-1a with the MurmurHash3 finalizer. */
export function rendezvousScore (proxy: string, database: string): number {
  let hash = FNV_OFFSET
  for (const byte of Buffer.from(`${proxy}/${database}`)) hash = Math.imul(hash ^ byte, FNV_PRIME)
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return (hash ^ (hash >>> 16)) >>> 0
}
