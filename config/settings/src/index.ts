/** Settings files. */
export * from './daemonSettings.js'
export * from './fields.js'
export * from './keepSettings.js'
export * from './readToml.js'
