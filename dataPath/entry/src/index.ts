/** Callers' sessions. */
export * from './createEntrySession.js'
export * from './createRouteBook.js'
export * from './homeFinder.js'
