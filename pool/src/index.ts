/** Connection pools of targets. */
export * from './createTargetPool.js'
