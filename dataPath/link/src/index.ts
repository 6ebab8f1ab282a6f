/** Links that carry typed statements between entries and homes. */
export * from './createStatementLink.js'
export * from './createStatementLinkServer.js'
export * from './statementLinkCodec.js'
