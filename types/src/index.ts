/** Types shared between packages. */
export * from './address.js'
export * from './bundle.js'
export * from './command.js'
export * from './logPosition.js'
export * from './renewal.js'
export * from './target.js'
export * from './view.js'
