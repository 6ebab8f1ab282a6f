/** Loggers. */
export * from './createLogger.js'
