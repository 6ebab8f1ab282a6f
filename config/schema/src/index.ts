/** Schemas of lists that end at the first invalid item, and bounded descriptions of what is invalid. */
export * from './listOf.js'
export * from './describeIssue.js'
