import { type Address } from './address.js'
import { type SignedBundle } from './bundle.js'
import { type Announcement, type TargetState } from './target.js'

/**
 * A command in control's replicated log. Commands decided on the state of a database carry the term or epoch of that decision
 * and are ignored if it has changed by the time they are applied.
 */
export type ControlCommand =
  | { readonly kind: 'noop' }
  | { readonly kind: 'joinTarget', readonly announcement: Announcement }
  | { readonly kind: 'setTargetState', readonly database: string, readonly instance: string, readonly state: TargetState }
  | {
    readonly kind: 'removeTarget'
    readonly database: string
    readonly instance: string
    /** True if the target announced that it leaves; absent if it was removed because it could not be reached. */
    readonly hasLeft?: boolean
  }
  | {
    readonly kind: 'assignHome'
    readonly database: string
    readonly fromEpoch: number
    readonly proxy: string
    readonly address: Address
    /** Fitness of the proxy's VM for homes, from 0 to 1; absent if it is not known. */
    readonly fitness?: number
  }
  | {
    readonly kind: 'freeze'
    readonly database: string
    readonly fromTerm: number
    /** Instance to promote; set only where the platform carries out promotions. */
    readonly heir?: string
  }
  | {
    readonly kind: 'open'
    readonly database: string
    readonly term: number
    readonly primary: string
    readonly inSync: readonly string[]
  }
  | {
    readonly kind: 'setInSync'
    readonly database: string
    readonly term: number
    readonly inSync: readonly string[]
    /** The loss of a target that the home has confirmed to be without effect on what was acknowledged. */
    readonly confirmedLoss?: number
  }
  | { readonly kind: 'submitBundle', readonly bundle: SignedBundle }
  /** Routes compressed by `packRoutes`, since the log contains hundreds of versions that differ little. */
  | { readonly kind: 'submitRoutes', readonly packed: string }

/** Discriminator of a control command. */
export type ControlCommandKind = ControlCommand['kind']
