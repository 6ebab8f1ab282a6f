/** Schemas, parsing and reloading of settings files. */
export * from './daemonSettings.js'
export * from './fields.js'
export * from './createSettingsWatcher.js'
export * from './readToml.js'
