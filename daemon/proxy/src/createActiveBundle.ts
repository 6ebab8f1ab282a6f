import { type SignedBundle } from '@briarpick/types'
import { type BundleSettings, DEFAULT_BUNDLE, type TrustedSigners, verifyBundle } from '@briarpick/bundle'
import { createLogger } from '@briarpick/logs'
import { type Metrics } from '@briarpick/metrics'

/** The configuration bundle in force on this proxy. */
export interface ActiveBundle {
  /** Settings of the bundle in force; `DEFAULT_BUNDLE` before the first one. */
  settings: () => BundleSettings
  version: () => number
  /**
   * Replaces all settings by those of a newer bundle. One that is not newer is ignored; one that is invalid or not signed by a
   * trusted signer is rejected and logged.
   */
  apply: (bundle: SignedBundle) => void
}

const log = createLogger('proxy:bundle')

/** Creates a proxy's active bundle, initially `DEFAULT_BUNDLE`. */
export function createActiveBundle (opts: { readonly signers: TrustedSigners, readonly metrics: Metrics }): ActiveBundle {
  let settings = DEFAULT_BUNDLE
  return {
    settings: () => settings,
    version: () => settings.version,
    apply (bundle) {
      if (bundle.version <= settings.version) return
      verifyBundle(bundle, opts.signers).match({
        Ok (verified) {
          settings = verified
          opts.metrics.count('events', 'bundle_applied')
          log('bundleApplied', { version: bundle.version, signer: bundle.signer })
        },
        Err (err) {
          opts.metrics.count('refusals', err.code)
          log('bundleRejected', { version: bundle.version, reason: err.message, hint: err.hint })
        },
      })
    },
  }
}
