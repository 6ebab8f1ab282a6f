'use strict'
// Replaces the logging library's thread-stream in the bundle, since loading its modules would lengthen process start-up.
module.exports = class ThreadStream {
  constructor () {
    throw new Error('log transports are not available in the bundle')
  }
}
