/** Bundle schema, signing and verification. */
export * from './bundleSchema.js'
export * from './signBundle.js'
