/** Finding the leader of control. */
export * from './findLeader.js'
