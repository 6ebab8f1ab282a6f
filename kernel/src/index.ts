/** The micro-kernel. */
export * from './createKernel.js'
