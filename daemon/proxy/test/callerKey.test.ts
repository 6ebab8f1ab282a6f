import { expect, test } from 'vitest'
import { createCallerKeys, hashProxy, proxyHashOf } from '../src/entry/callerKey.js'

// Guards against callers that are taken for each other: two with one process id were one caller to a drain, a close and a cancel request.
test('callers that are connected at the same time have different process ids, which contain the hash of the proxy', () => {
  const keys = createCallerKeys(hashProxy('vm-1#x'))
  const taken = Array.from({ length: 10_000 }, keys.take)
  expect(new Set(taken.map((key) => key?.processId)).size).toBe(taken.length)
  for (const key of taken) expect(key === undefined ? undefined : proxyHashOf(key)).toBe(hashProxy('vm-1#x'))
})

test('no key is created beyond the limit, and the process id of a caller that has left can be used again', () => {
  const keys = createCallerKeys(1)
  const taken = []
  for (let key = keys.take(); key !== undefined; key = keys.take()) taken.push(key)
  expect(taken.length).toBeGreaterThan(10_000)
  keys.release(taken[0])
  expect(keys.take()).toBeDefined()
  expect(keys.take()).toBeUndefined()
})
