/** Error class, codes and serialization. */
export * from './briarpickError.js'
