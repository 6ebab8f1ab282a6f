import { setImmediate as nextTurn } from 'node:timers/promises'
import { afterEach, expect, test } from 'vitest'
import { statementFailure, type StatementReply, type StatementRequest } from '@briarpick/types'
import { type StatementHome, type StatementOutcome } from '@briarpick/statement-home'
import { createStatementLink, createStatementLinkServer, MAX_STATEMENT_LINK_MESSAGE_BYTES, type StatementLink, type StatementLinkResult } from '../src/index.js'
import { READ } from './readRequest.js'

const WRITE: StatementRequest = { ...READ, action: { kind: 'query', access: 'write', text: 'WRITE a b' } }
const TOO_LONG = 'a'.repeat(MAX_STATEMENT_LINK_MESSAGE_BYTES)
const DONE: StatementReply = { kind: 'done', rows: [], signature: 's', position: null }

const cleanUp: Array<() => Promise<void> | void> = []
afterEach(async () => {
  for (const close of cleanUp.splice(0).reverse()) await close()
})

/** A link to a home that gives each request `reply`, and the request with the id `waits` only after `release`. */
async function startHome (reply: StatementReply) {
  const received: string[] = []
  let release = () => {}
  const released = new Promise<void>((resolve) => { release = resolve })
  const home = {
    async run ({ id, transaction }: StatementRequest): Promise<StatementOutcome> {
      received.push(id)
      if (id !== 'waits') return { reply, state: transaction === null ? 'idle' : 'open' }
      await released
      return { reply: DONE, state: 'idle' }
    },
    rollBack () {},
  }
  const server = await createStatementLinkServer({ listen: { host: '127.0.0.1', port: 0 }, homeOf: () => home as unknown as StatementHome })
  const link = createStatementLink({ address: server.address })
  cleanUp.push(server.close, link.close)
  return { link, received, release }
}

/** Runs a read, again while the link takes the other end for silent: one process serves both ends, and encodes long messages. */
async function runRead (link: StatementLink): Promise<StatementLinkResult> {
  for (;;) {
    const result = await link.run(READ)
    if (result.kind === 'outcome') return result
    await nextTurn()
  }
}

// Guards against unknown outcomes of all callers of a link, which its reader closed because one caller's request was too long.
test('a request that is too long for the link is refused without being sent, and those of others go on', async () => {
  const { link, received, release } = await startHome(DONE)
  const waiting = link.run({ ...WRITE, id: 'waits' })
  const refused = statementFailure('tooLarge', 'request_too_large')
  const long: StatementRequest = { ...WRITE, values: [['tz', TOO_LONG]] }
  expect(await link.run(long)).toEqual({ kind: 'outcome', outcome: { reply: refused, state: 'idle' } })
  expect(await link.run({ ...long, transaction: 'x.1' })).toEqual({ kind: 'outcome', outcome: { reply: refused, state: 'failed' } })
  release()
  expect(await waiting).toEqual({ kind: 'outcome', outcome: { reply: DONE, state: 'idle' } })
  expect(received).toEqual(['waits'])
})

// Guards against unknown outcomes of all callers of a link, which its reader closed because one statement had many rows.
test('a reply that is too long for the link becomes a failure that says what is known, and those of others go on', async () => {
  const { link, release } = await startHome({ ...DONE, rows: [TOO_LONG] })
  const waiting = link.run({ ...WRITE, id: 'waits' })
  const failed = statementFailure('failed', 'reply_too_large')
  const unknown = statementFailure('outcomeUnknown', 'reply_too_large')
  const transaction = 'x.1'
  expect(await runRead(link)).toEqual({ kind: 'outcome', outcome: { reply: failed, state: 'idle' } })
  expect(await link.run(WRITE)).toEqual({ kind: 'outcome', outcome: { reply: unknown, state: 'idle' } })
  expect(await link.run({ ...READ, transaction })).toEqual({ kind: 'outcome', outcome: { reply: failed, state: 'open' } })
  const commit: StatementRequest = { ...READ, transaction, action: { kind: 'commit', text: 'COMMIT' } }
  expect(await link.run(commit)).toMatchObject({ outcome: { reply: unknown } })
  release()
  expect(await waiting).toEqual({ kind: 'outcome', outcome: { reply: DONE, state: 'idle' } })
})

test('a failure whose text is too long for the link keeps its kind', async () => {
  const { link } = await startHome(statementFailure('busy', 'overloaded', { text: TOO_LONG, retryAfterMs: 20 }))
  const reply = statementFailure('busy', 'overloaded', { retryAfterMs: 20 })
  expect(await link.run(WRITE)).toEqual({ kind: 'outcome', outcome: { reply, state: 'idle' } })
})
