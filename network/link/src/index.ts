/** Links between proxies. */
export * from './createLinkPool.js'
export * from './createLinkServer.js'
export * from './linkCodec.js'
