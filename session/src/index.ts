/** Session consistency. */
export * from './createAgeBound.js'
export * from './createWatermarks.js'
export * from './watermarkToken.js'
