/** Validation, history, changes and compression of route tables. */
export * from './checkRouteTable.js'
export * from './routeChange.js'
export * from './createRouteHistory.js'
export * from './packRoutes.js'
