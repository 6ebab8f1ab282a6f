/** Starts the whole system for tests, demos and benchmarks. */
export * from './connectCaller.js'
export * from './createFaultProxy.js'
export * from './createLimitedFileSystem.js'
export * from './findFreePorts.js'
export * from './startControls.js'
export * from './startProcess.js'
export * from './startSystem.js'
