/** Bodies of HTTP requests within a limit of memory. */
export * from './createBodyReader.js'
