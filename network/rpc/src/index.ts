/** JSON-RPC between processes. */
export * from './createPeer.js'
export * from './createRpcClient.js'
export * from './createRpcServer.js'
export * from './createRpcClients.js'
