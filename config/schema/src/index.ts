/** Schemas of bounded lists and numbers, bounded descriptions of what is invalid, and JSON of bounded size. */
export * from './bounds.js'
export * from './listOf.js'
export * from './describeIssue.js'
export * from './parseJson.js'
