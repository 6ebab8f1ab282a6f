import { type DatabaseView, type RouteTableDocument, type SignedBundle } from '@briarpick/types'

/** All that control decides and must not forget. */
export interface ControlState {
  readonly views: Readonly<Record<string, DatabaseView>>
  readonly bundle: SignedBundle | null
  /** Index of the entry that accepted the bundle. */
  readonly bundleIndex: number
  readonly routes: RouteTableDocument | null
}

/** The state before any command. */
export const EMPTY_STATE: ControlState = { views: {}, bundle: null, bundleIndex: 0, routes: null }

/** Reads the state of a snapshot. */
export function stateFromSnapshot (state: unknown): ControlState {
  return state === null ? EMPTY_STATE : { ...EMPTY_STATE, ...(state as ControlState) }
}
