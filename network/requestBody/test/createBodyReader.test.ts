import { Readable } from 'node:stream'
import { type IncomingMessage } from 'node:http'
import { expect, test } from 'vitest'
import { createBodyReader } from '../src/index.js'

/** A request whose body comes in parts of the given lengths. */
function requestOf (...lengths: readonly number[]): IncomingMessage {
  return Readable.from(lengths.map((length) => Buffer.alloc(length))) as unknown as IncomingMessage
}

const kindOf = async ({ kind }: { readonly kind: string }) => kind

test('a body up to its limit is read, and a longer one is not', async () => {
  const reader = createBodyReader({ maxHeldBytes: 1000, smallBytes: 10 })
  expect(await reader.withBody(requestOf(60, 40), 100, async (result) => result)).toEqual({ kind: 'read', body: Buffer.alloc(100) })
  expect(await reader.withBody(requestOf(60, 41), 100, kindOf)).toBe('tooLong')
  expect(await reader.withBody(requestOf(), 100, kindOf)).toBe('read')
  expect(reader.heldBytes()).toBe(0)
})

// Guards against a process that exceeds its memory with several large documents at once.
test('beyond the limit for all bodies only small ones are read, until the others are released', async () => {
  const reader = createBodyReader({ maxHeldBytes: 1000, smallBytes: 10 })
  let release: () => void = () => {}
  const used = new Promise<void>((resolve) => { release = resolve })
  const held = reader.withBody(requestOf(500, 400), 2000, async () => { await used })
  await expect.poll(reader.heldBytes).toBe(900)
  expect(await reader.withBody(requestOf(100, 100), 2000, kindOf)).toBe('tooManyHeld')
  expect(await reader.withBody(requestOf(10), 2000, kindOf)).toBe('read')
  release()
  await held
  expect(await reader.withBody(requestOf(100, 100), 2000, kindOf)).toBe('read')
  await expect(reader.withBody(requestOf(500), 2000, async () => { throw new Error('failed') })).rejects.toThrow('failed')
  expect(reader.heldBytes()).toBe(0)
})
