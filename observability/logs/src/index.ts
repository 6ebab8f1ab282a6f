/** Loggers and the JSON log sink. */
export * from './createLogger.js'
export * from './createJsonSink.js'
