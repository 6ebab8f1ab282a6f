/** Schemas of lists that end at the first invalid item, bounded descriptions of what is invalid, and JSON of bounded size. */
export * from './listOf.js'
export * from './describeIssue.js'
export * from './parseJson.js'
