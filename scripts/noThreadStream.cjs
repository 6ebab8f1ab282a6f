'use strict'
// Stands in the bundle for the logging library's threads, whose modules would lengthen each start.
module.exports = class ThreadStream {
  constructor () {
    throw new Error('the bundle holds no log transports')
  }
}
