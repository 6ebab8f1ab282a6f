/** Bodies of HTTP requests within a budget for all of them. */
export * from './createBodyReader.js'
