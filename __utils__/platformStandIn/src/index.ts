/** A stand-in for the users' platform, for tests and demos. */
export * from './callers.js'
export * from './createStandInGroup.js'
export * from './createStandInPlatform.js'
export * from './createWireClient.js'
export * from './startPlatformSystem.js'
