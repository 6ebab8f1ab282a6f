import { createHash, createPrivateKey, createPublicKey, generateKeyPairSync, sign, verify } from 'node:crypto'
import { Result } from 'true-myth'
import { type SignedBundle } from '@briarpick/types'
import { BriarpickError } from '@briarpick/error'
import { type BundleSettings, checkBundleText, readAcceptedBundleText } from './bundleSchema.js'

/** A signer's key pair: the private key in PKCS #8 and the public key in SPKI, both DER in base64. */
export interface SignerKeys {
  readonly privateKey: string
  readonly publicKey: string
}

/** Trusted public keys by signer name. */
export type TrustedSigners = Readonly<Record<string, string>>

/** Generates an Ed25519 key pair. */
export function generateSignerKeys (): SignerKeys {
  const { privateKey, publicKey } = generateKeyPairSync('ed25519')
  return {
    privateKey: privateKey.export({ format: 'der', type: 'pkcs8' }).toString('base64'),
    publicKey: publicKey.export({ format: 'der', type: 'spki' }).toString('base64'),
  }
}

/** SHA-256 of a bundle's text, in hex. */
export function bundleDigest (text: string): string {
  return createHash('sha256').update(text).digest('hex')
}

function signedPayload (version: number, digest: string): Buffer {
  return Buffer.from(`briarpick-bundle:${version}:${digest}`)
}

/**
 * Validates a bundle's text and signs it. Fails with `ERR_BRIARPICK_SETTINGS` if the text is invalid, `ERR_BRIARPICK_BUNDLE` if
 * the key is.
 */
export function signBundle (text: string, signer: string, privateKey: string): Result<SignedBundle, BriarpickError> {
  return checkBundleText(text).andThen(({ version }) => {
    const digest = bundleDigest(text)
    try {
      const key = createPrivateKey({ key: Buffer.from(privateKey, 'base64'), format: 'der', type: 'pkcs8' })
      const signature = sign(null, signedPayload(version, digest), key).toString('base64')
      return Result.ok({ version, digest, text, signer, signature })
    } catch (err) {
      return Result.err(bundleError('the private key cannot be used for signing', 'pass the key file that `briarpick bundle keygen` wrote', err))
    }
  })
}

/**
 * Verifies the digest, signature and text of a bundle and returns its settings. Fails with `ERR_BRIARPICK_BUNDLE`, or with
 * `ERR_BRIARPICK_SETTINGS` if the signed text is invalid.
 */
export function verifyBundle (bundle: SignedBundle, trusted: TrustedSigners): Result<BundleSettings, BriarpickError> {
  if (bundleDigest(bundle.text) !== bundle.digest) {
    return Result.err(bundleError('the bundle\'s digest does not match its text', 'sign the bundle again'))
  }
  const publicKey = trusted[bundle.signer]
  if (publicKey === undefined) {
    return Result.err(bundleError(`the signer ${bundle.signer} is not trusted`, 'add the public key under [signers] of every daemon\'s settings'))
  }
  if (!isSignatureValid(bundle, publicKey)) {
    return Result.err(bundleError(`the signature of ${bundle.signer} is not valid`, 'sign the bundle again with the key that belongs to the trusted public key'))
  }
  return readAcceptedBundleText(bundle.text).andThen((settings) => settings.version === bundle.version
    ? Result.ok(settings)
    : Result.err(bundleError('the bundle\'s version does not match its text', 'sign the bundle again')))
}

function isSignatureValid (bundle: SignedBundle, publicKey: string): boolean {
  try {
    const key = createPublicKey({ key: Buffer.from(publicKey, 'base64'), format: 'der', type: 'spki' })
    return verify(null, signedPayload(bundle.version, bundle.digest), key, Buffer.from(bundle.signature, 'base64'))
  } catch {
    return false
  }
}

function bundleError (message: string, hint: string, cause?: unknown): BriarpickError {
  return new BriarpickError('ERR_BRIARPICK_BUNDLE', message, { hint, cause })
}
