/** Loggers. */
export * from './createLogger.js'
export * from './createJsonSink.js'
