/** Raft consensus between control nodes. */
export * from './raftTypes.js'
export * from './createRaftNode.js'
