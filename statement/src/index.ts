/** Parsing and classification of statements, and the request options in their comments. */
export * from './classifyStatements.js'
export * from './parseSql.js'
export * from './extractRequestOptions.js'
