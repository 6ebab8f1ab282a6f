/** Service registry with lifecycle management. */
export * from './createKernel.js'
export * from './createErrorGuard.js'
