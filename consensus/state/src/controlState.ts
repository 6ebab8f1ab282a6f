import { type DatabaseView, type RouteTableDocument, type SignedBundle } from '@briarpick/types'

/** The state that the control nodes replicate through the log. */
export interface ControlState {
  readonly views: Readonly<Record<string, DatabaseView>>
  readonly bundle: SignedBundle | null
  /** Index of the log entry that accepted the bundle; 0 for none. */
  readonly bundleIndex: number
  readonly routes: RouteTableDocument | null
}

/** The state before the first command. */
export const EMPTY_STATE: ControlState = { views: {}, bundle: null, bundleIndex: 0, routes: null }

/** Returns the state in a snapshot; the empty state for null. Fields that an older snapshot lacks get their initial values. */
export function stateFromSnapshot (state: unknown): ControlState {
  return state === null ? EMPTY_STATE : { ...EMPTY_STATE, ...(state as ControlState) }
}
