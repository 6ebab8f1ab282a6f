import { type SignedBundle } from '@briarpick/types'
import { type BundleSettings, NO_BUNDLE, type TrustedSigners, verifyBundle } from '@briarpick/bundle'
import { createLogger } from '@briarpick/logs'
import { type Metrics } from '@briarpick/metrics'

/** The bundle in force on this proxy. */
export interface BundleHolder {
  settings: () => BundleSettings
  version: () => number
  /** Applies a bundle whole, or not at all if it is older or not signed by a trusted person. */
  apply: (bundle: SignedBundle) => void
}

const log = createLogger('proxy:bundle')

/** Starts without a bundle. */
export function createBundleHolder (opts: { readonly signers: TrustedSigners, readonly metrics: Metrics }): BundleHolder {
  let settings = NO_BUNDLE
  return {
    settings: () => settings,
    version: () => settings.version,
    apply (bundle) {
      if (bundle.version <= settings.version) return
      verifyBundle(bundle, opts.signers).match({
        Ok (checked) {
          settings = checked
          opts.metrics.count('events', 'bundle_applied')
          log('applied', { version: bundle.version, signer: bundle.signer })
        },
        Err (err) {
          opts.metrics.count('refusals', err.code)
          log('refused', { version: bundle.version, reason: err.message, hint: err.hint })
        },
      })
    },
  }
}
