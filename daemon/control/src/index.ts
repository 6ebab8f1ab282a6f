/** The control daemon. */
export * from './readControlStatus.js'
export * from './startControl.js'
