/** Routing of reads. */
export * from './routeRead.js'
