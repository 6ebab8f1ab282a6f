/** Route tables. */
export * from './checkRouteTable.js'
