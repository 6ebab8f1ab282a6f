/** A stand-in of the users' platform. */
export * from './callers.js'
export * from './createStandInGroup.js'
export * from './createStandInPlatform.js'
export * from './createWireClient.js'
export * from './startPlatformSystem.js'
