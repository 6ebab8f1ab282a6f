/** Bundles. */
export * from './bundleSchema.js'
export * from './signBundle.js'
