/** Homes. */
export * from './createHome.js'
export * from './homeTypes.js'
export * from './refusals.js'
