import fc from 'fast-check'
import { expect, test } from 'vitest'
import { createFrameReader, readErrorSummary, writeDataRow, writeError, writeQuery, writeReadyForQuery } from '../src/index.js'
import { BriarpickError } from '@briarpick/error'

test('messages are read whole wherever the byte stream is split', () => {
  const messages = [writeQuery('SELECT 1'), writeReadyForQuery('I'), writeDataRow(['a', null, 'x'.repeat(300)])]
  const bytes = Buffer.concat(messages)
  fc.assert(fc.property(fc.array(fc.integer({ min: 1, max: bytes.length })), (splits) => {
    const reader = createFrameReader({ maxBytes: 10_000 })
    const offsets = [...new Set([0, ...splits, bytes.length])].sort((a, b) => a - b)
    const frames = offsets.slice(1).flatMap((end, i) => reader.push(bytes.subarray(offsets[i], end)))
    expect(frames.map((frame) => frame.toString('hex'))).toEqual(messages.map((message) => message.toString('hex')))
  }), { seed: 5, numRuns: 300, endOnFailure: true })
})

test('arbitrary bytes yield messages or a protocol error', () => {
  fc.assert(fc.property(fc.array(fc.uint8Array({ maxLength: 64 })), (chunks) => {
    const reader = createFrameReader({ maxBytes: 1000 })
    try {
      for (const chunk of chunks) reader.push(Buffer.from(chunk))
    } catch (err) {
      expect(err).toMatchObject({ code: 'ERR_BRIARPICK_PROTOCOL' })
    }
  }), { seed: 6, numRuns: 500, endOnFailure: true })
})

test('an error response contains the error code, the outcome and the retry delay', () => {
  const refusal = new BriarpickError('ERR_BRIARPICK_OVERLOADED', 'too much', { hint: 'wait', retryAfterMs: 120 })
  const bytes = writeError(refusal)
  expect(readErrorSummary(bytes)).toEqual({ severity: 'ERROR', sqlState: '53000', message: 'too much' })
  expect(bytes.toString()).toContain('code=ERR_BRIARPICK_OVERLOADED outcome=refused retry_after_ms=120')
})
