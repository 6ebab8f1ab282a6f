/** Finding the leader of control. */
export * from './createLeaderAnswers.js'
export * from './findLeader.js'
