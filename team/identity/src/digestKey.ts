/** Longest key that a caller may have, in characters. */
export const MAX_KEY_CHARACTERS = 1024
/** Bytes of a digest that are kept: 128 bits, so that no two keys have the same digest in practice. */
const DIGEST_BYTES = 16

/**
 * Digest of a caller's key, as route tables contain it: SHA-256, cut to 128 bits, in base64url. The crypto module is loaded on
 * first use, since deployments without teams never need it.
 */
export function digestKey (key: string): string {
  const { createHash } = process.getBuiltinModule('node:crypto')
  return createHash('sha256').update(key).digest().subarray(0, DIGEST_BYTES).toString('base64url')
}

/** Digest of the key that a caller presents; null if it presents none, or one that cannot be valid: valid keys are well-formed text. */
export function digestPresentedKey (key: string | null): string | null {
  return key === null || key.length === 0 || key.length > MAX_KEY_CHARACTERS || !key.isWellFormed() ? null : digestKey(key)
}
