import { afterEach, expect, test } from 'vitest'
import { statementFailure, type StatementRequest } from '@briarpick/types'
import { type StatementHome, type StatementOutcome } from '@briarpick/statement-home'
import { createStatementLink, createStatementLinkServer } from '../src/index.js'
import { READ } from './readRequest.js'

const LEFT: StatementOutcome = { reply: statementFailure('aborted', 'caller_left'), state: 'idle' }

const cleanUp: Array<() => Promise<void> | void> = []
afterEach(async () => {
  for (const close of cleanUp.splice(0).reverse()) await close()
})

/** A home in which every request waits until its caller leaves, and a link to it. */
async function startFullHome () {
  const left: string[] = []
  const home = {
    run: async ({ id }: StatementRequest, signal?: AbortSignal) => await new Promise<StatementOutcome>((resolve) => {
      signal?.addEventListener('abort', () => {
        left.push(id)
        resolve(LEFT)
      })
    }),
    rollBack () {},
  }
  const server = await createStatementLinkServer({ listen: { host: '127.0.0.1', port: 0 }, homeOf: () => home as unknown as StatementHome })
  cleanUp.push(server.close)
  const link = createStatementLink({ address: server.address })
  cleanUp.push(link.close)
  return { link, left }
}

test('a caller that leaves reaches the home, where its request gives up its place; others keep theirs', async () => {
  const { link, left } = await startFullHome()
  const leaving = new AbortController()
  const staying = new AbortController()
  const first = link.run({ ...READ, id: 'leaves' }, leaving.signal)
  const second = link.run({ ...READ, id: 'stays' }, staying.signal)
  await new Promise((resolve) => setTimeout(resolve, 20))
  leaving.abort()
  expect(await first).toEqual({ kind: 'outcome', outcome: LEFT })
  expect(left).toEqual(['leaves'])
  staying.abort()
  await second
})

test('when a link closes, all that waits for it gives up its place', async () => {
  const { link, left } = await startFullHome()
  const results = [link.run({ ...READ, id: 'a' }), link.run({ ...READ, id: 'b' })]
  await new Promise((resolve) => setTimeout(resolve, 20))
  link.close()
  expect(await Promise.all(results)).toEqual([{ kind: 'lost' }, { kind: 'lost' }])
  await expect.poll(() => left.length).toBe(2)
})

test('a request whose caller leaves while the link is being connected is not sent', async () => {
  const { link, left } = await startFullHome()
  const leaving = new AbortController()
  const result = link.run(READ, leaving.signal)
  leaving.abort()
  expect(await Promise.race([result, new Promise((resolve) => setTimeout(() => resolve('sent'), 300))])).toEqual({ kind: 'notSent' })
  expect(left).toEqual([])
})
