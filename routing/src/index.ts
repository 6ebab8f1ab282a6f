/** Routing. */
export * from './routeRead.js'
