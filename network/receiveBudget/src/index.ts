/** Budget for what a process is receiving. */
export * from './createPartialMessage.js'
export * from './createReceiveBudget.js'
