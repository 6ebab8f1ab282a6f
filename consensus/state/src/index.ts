/** The replicated state of control. */
export * from './applyCommand.js'
export * from './controlState.js'
