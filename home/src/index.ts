/** The home of one database. */
export * from './createHome.js'
export * from './homeTypes.js'
export * from './homeErrors.js'
