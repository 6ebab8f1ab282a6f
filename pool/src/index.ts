/** Pools of target connections. */
export * from './createTargetPool.js'
