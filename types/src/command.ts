import { type Address } from './address.js'
import { type SignedBundle } from './bundle.js'
import { type Announcement, type TargetState } from './target.js'

/** A command of the control log. Each names the term or epoch that it was decided on, and does nothing if that has passed. */
export type ControlCommand =
  | { readonly kind: 'noop' }
  | { readonly kind: 'joinTarget', readonly announcement: Announcement }
  | { readonly kind: 'setTargetState', readonly database: string, readonly instance: string, readonly state: TargetState }
  | { readonly kind: 'removeTarget', readonly database: string, readonly instance: string }
  | {
    readonly kind: 'assignHome'
    readonly database: string
    readonly fromEpoch: number
    readonly proxy: string
    readonly address: Address
  }
  | {
    readonly kind: 'freeze'
    readonly database: string
    readonly fromTerm: number
    /** The target to promote, where the platform carries out promotions. */
    readonly heir?: string
  }
  | {
    readonly kind: 'open'
    readonly database: string
    readonly term: number
    readonly primary: string
    readonly inSync: readonly string[]
  }
  | { readonly kind: 'setInSync', readonly database: string, readonly term: number, readonly inSync: readonly string[] }
  | { readonly kind: 'submitBundle', readonly bundle: SignedBundle }
  /** Routes as `packRoutes` makes them, since the log keeps hundreds of versions that differ little. */
  | { readonly kind: 'submitRoutes', readonly packed: string }

/** The kinds of control commands. */
export type ControlCommandKind = ControlCommand['kind']
