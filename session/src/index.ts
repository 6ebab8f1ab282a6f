/** Session consistency. */
export * from './createAgeProof.js'
export * from './createWatermarks.js'
export * from './watermarkToken.js'
