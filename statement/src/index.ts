/** Statements: parsing, classes and options. */
export * from './classifyStatements.js'
export * from './parseSql.js'
export * from './extractRequestOptions.js'
