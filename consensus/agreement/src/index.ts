/** Agreement between control nodes. */
export * from './agreementTypes.js'
export * from './createAgreement.js'
