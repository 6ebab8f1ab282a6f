/** A signed, versioned bundle of settings for all services, as submitted by an operator. */
export interface SignedBundle {
  readonly version: number
  /** SHA-256 of `text`, in hex. */
  readonly digest: string
  /** The settings, in TOML. */
  readonly text: string
  /** Name of the signer, a key of the daemons' `signers` setting. */
  readonly signer: string
  /** Ed25519 signature of the version and digest, in base64. */
  readonly signature: string
}

/**
 * Result of submitting a bundle. Only `accepted` changes the state. `refusedConflict`: another text has this version already;
 * `refusedOlder`: a higher version is in force.
 */
export type SubmitBundleResult =
  | { readonly kind: 'accepted', readonly version: number, readonly digest: string }
  | { readonly kind: 'alreadyAccepted', readonly version: number, readonly digest: string }
  | { readonly kind: 'refusedConflict', readonly version: number, readonly holdingDigest: string, readonly holdingSigner: string }
  | { readonly kind: 'refusedOlder', readonly version: number, readonly holdingVersion: number }
