import { expect, test } from 'vitest'
import { type CallerBatch } from '@briarpick/pg-caller'
import { type Frame, FrontendCode, writeEmptyMessage } from '@briarpick/pg-wire'
import { createCallerState } from '../src/entry/callerState.js'
import { prepareBatch, type RemoteBatch } from '../src/entry/prepareBatch.js'

const NO_TYPES = Buffer.from([0, 0])
const NO_VALUES = Buffer.from([0, 0, 0, 0, 0, 0])
const SYNC = writeEmptyMessage(FrontendCode.sync)

/** A message whose strings are exactly these bytes, one for each character. */
function message (code: number, strings: readonly string[], tail: Buffer): Frame {
  const body = Buffer.concat([...strings.map((text) => Buffer.from(`${text}\0`, 'latin1')), tail])
  const head = Buffer.alloc(5)
  head[0] = code
  head.writeInt32BE(body.length + 4, 1)
  return Buffer.concat([head, body])
}

const parse = (name: string, text: string) => message(FrontendCode.parse, [name, text], NO_TYPES)
const bind = (statement: string) => message(FrontendCode.bind, ['', statement], NO_VALUES)
const execute = message(FrontendCode.execute, [''], Buffer.alloc(4))
const extended = (...frames: readonly Frame[]): CallerBatch => ({ kind: 'extended', frames: [...frames, SYNC], flushed: false })
const simple = (text: string): CallerBatch => ({ kind: 'simple', frames: [message(FrontendCode.query, [text], Buffer.alloc(0))], flushed: false })

// Guards against a name that runs another statement than its caller prepared, and against changed text: such bytes became U+FFFD.
test('names and texts that are not UTF-8 are refused', () => {
  const state = createCallerState({})
  const refused = expect.objectContaining({ code: 'ERR_BRIARPICK_PROTOCOL' })
  const batches = [
    extended(parse('caf\xe9', 'SELECT 1')),
    extended(parse('a', "INSERT INTO t VALUES ('caf\xe9')")),
    extended(bind('caf\xff')),
    extended(message(FrontendCode.close, ['Scaf\xe9'], Buffer.alloc(0))),
    simple("INSERT INTO t VALUES ('caf\xe9')"),
  ]
  for (const batch of batches) expect(() => prepareBatch(batch, state)).toThrow(refused)
  expect(state.statements.size).toBe(0)
})

test('a name and a text in UTF-8 reach the target unchanged', () => {
  const state = createCallerState({})
  const utf8 = (text: string) => Buffer.from(text).toString('latin1')
  prepareBatch(extended(parse(utf8('café'), utf8("INSERT INTO t VALUES ('café 😀')")), bind(utf8('café')), execute), state)
  const { bytes } = prepareBatch(extended(bind(utf8('café')), execute), state) as RemoteBatch
  expect(bytes.toString()).toContain("INSERT INTO t VALUES ('café 😀')")
})
