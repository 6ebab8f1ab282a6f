/** Service registry with lifecycle management. */
export * from './createKernel.js'
