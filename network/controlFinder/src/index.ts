/** Discovery of the control leader. */
export * from './createLeaderResponder.js'
export * from './findLeader.js'
