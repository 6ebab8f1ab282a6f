/** How the initial voters of a new cluster are chosen, as pure functions. */
export * from './answerFounding.js'
export * from './createFoundingNode.js'
export * from './decideFounding.js'
export * from './foundingTypes.js'
export * from './selectInitialVoters.js'
