/** The proxy daemon for typed statements. */
export * from './startStatementProxy.js'
