/** Errors of all packages. */
export * from './briarpickError.js'
