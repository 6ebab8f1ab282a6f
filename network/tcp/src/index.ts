/** Listening TCP sockets. */
export * from './listenOn.js'
