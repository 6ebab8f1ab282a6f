/** Route tables. */
export * from './checkRouteTable.js'
export * from './routeChange.js'
export * from './createRecentRoutes.js'
export * from './packRoutes.js'
