/** The replicated state of the control nodes. */
export * from './applyCommand.js'
export * from './controlState.js'
export * from './viewOf.js'
