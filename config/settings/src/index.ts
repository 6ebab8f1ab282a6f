/** Settings files. */
export * from './daemonSettings.js'
export * from './fields.js'
export * from './readToml.js'
