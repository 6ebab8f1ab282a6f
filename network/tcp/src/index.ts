/** Listening. */
export * from './listenOn.js'
