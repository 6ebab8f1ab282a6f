/** The control daemon. */
export * from './readControlStatus.js'
export * from './startControl.js'
export { type PromoteCall, type PromoteResult } from './createPromoter.js'
export { type ControlApi } from './createControlApi.js'
export * from './startSeededControl.js'
export * from './nextVoters.js'
