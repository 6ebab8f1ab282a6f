/** Framing, reading and writing of PostgreSQL protocol messages. */
export * from './createFrameReader.js'
export * from './createCorkedWriter.js'
export * from './messageCode.js'
export * from './readMessage.js'
export * from './writeMessage.js'
