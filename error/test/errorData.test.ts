import { expect, test } from 'vitest'
import { BriarpickError, type ErrorData, fromErrorData, toErrorData } from '../src/index.js'

test('an error that is sent between processes keeps its code, message, hint and retry delay', () => {
  const err = new BriarpickError('ERR_BRIARPICK_OVERLOADED', 'too much', { hint: 'wait', retryAfterMs: 120 })
  expect(toErrorData(fromErrorData(JSON.parse(JSON.stringify(toErrorData(err))) as ErrorData))).toEqual(toErrorData(err))
})

// Guards against codes of every object, such as constructor, which counted as known and have no SQLSTATE.
test('an unknown code leaves open whether the request was executed', () => {
  for (const code of ['ERR_LATER', 'constructor', 'toString', '__proto__']) {
    const err = fromErrorData({ code, message: 'm', hint: 'h' } as unknown as ErrorData)
    expect(err).toMatchObject({ code: 'ERR_BRIARPICK_RPC', sqlState: '08006', isRefusal: false })
  }
})
