/** Links between proxies for PostgreSQL sessions. */
export * from './createLinkPool.js'
export * from './createLinkServer.js'
export * from './linkCodec.js'
