/** Command-line interface. */
export * from './main.js'
export * from './statusCommand.js'
export * from './explainRequest.js'
