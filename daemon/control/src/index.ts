/** The control daemon. */
export * from './readControlStatus.js'
export * from './startControl.js'
export { type PromoteCall, type PromoteResult } from './createPromoter.js'
export * from './startSeededControl.js'
export * from './nextVoters.js'
