/** The proxy daemon. */
export * from './startProxy.js'
