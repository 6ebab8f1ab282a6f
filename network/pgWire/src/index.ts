/** PostgreSQL messages. */
export * from './createFrameReader.js'
export * from './createGatheredWriter.js'
export * from './messageCode.js'
export * from './readMessage.js'
export * from './writeMessage.js'
