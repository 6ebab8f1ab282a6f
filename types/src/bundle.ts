/** A bundle of settings as an operator submits it. */
export interface SignedBundle {
  readonly version: number
  /** SHA-256 of the text, in hex. */
  readonly digest: string
  /** The settings, in TOML. */
  readonly text: string
  /** Name of the person who signed. */
  readonly signer: string
  /** Ed25519 signature of the digest and version, in base64. */
  readonly signature: string
}

/** Control's answer to a submitted bundle. */
export type SubmitBundleResult =
  | { readonly kind: 'accepted', readonly version: number, readonly digest: string }
  | { readonly kind: 'alreadyAccepted', readonly version: number, readonly digest: string }
  | { readonly kind: 'refusedConflict', readonly version: number, readonly holdingDigest: string, readonly holdingSigner: string }
  | { readonly kind: 'refusedOlder', readonly version: number, readonly holdingVersion: number }
