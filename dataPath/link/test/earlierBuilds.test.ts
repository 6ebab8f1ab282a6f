import net, { type AddressInfo } from 'node:net'
import { afterEach, expect, test } from 'vitest'
import { type HomeAction, statementFailure, type StatementRequest } from '@briarpick/types'
import { type StatementHome, type StatementOutcome } from '@briarpick/statement-home'
import { createStatementLink, createStatementLinkServer, runOnLocalHome } from '../src/index.js'
import { createEarlierReader, encodeEarlierOutcome, encodeEarlierRun } from './earlierCodec.js'
import { READ } from './readRequest.js'

const DONE: StatementOutcome = { reply: { kind: 'done', rows: ['café'], signature: 's', position: null }, state: 'idle' }
const LISTEN = { host: '127.0.0.1', port: 0 }

const cleanUp: Array<() => Promise<void> | void> = []
afterEach(async () => {
  for (const close of cleanUp.splice(0).reverse()) await close()
})

/** A home of the database `d` that answers each request with `outcome`. */
function createHome (outcome: StatementOutcome) {
  const received: StatementRequest[] = []
  const run = async (request: StatementRequest) => {
    received.push(request)
    return outcome
  }
  const home = { run, rollBack () {} } as unknown as StatementHome
  return { received, homeOf: (database: string) => database === READ.database ? home : undefined }
}

/** A link to a home on a proxy of an earlier build. */
async function linkToEarlierHome (outcome: StatementOutcome) {
  const { received, homeOf } = createHome(outcome)
  const server = net.createServer((socket) => {
    const read = createEarlierReader()
    const answer = (number: number, request: StatementRequest) => {
      runOnLocalHome(homeOf(request.database), request)
        .then((reply) => socket.write(encodeEarlierOutcome(number, reply)))
        .catch(() => socket.destroy())
    }
    socket.on('error', () => socket.destroy())
    socket.on('data', (chunk) => {
      for (const { number, request } of read(chunk)) if (request !== undefined) answer(number, request)
    })
  })
  await new Promise<void>((resolve) => server.listen(LISTEN, resolve))
  const link = createStatementLink({ address: { host: LISTEN.host, port: (server.address() as AddressInfo).port } })
  cleanUp.push(() => { server.close() }, link.close)
  return { link, received }
}

/** Sends a request from an entry of an earlier build to a home, and returns the outcome that it reads. */
async function askFromEarlierEntry (outcome: StatementOutcome): Promise<StatementOutcome | undefined> {
  const server = await createStatementLinkServer({ listen: LISTEN, homeOf: createHome(outcome).homeOf })
  cleanUp.push(server.close)
  const socket = net.connect(server.address.port, server.address.host)
  const read = createEarlierReader()
  const answer = new Promise<StatementOutcome | undefined>((resolve) => {
    socket.on('data', (chunk) => {
      for (const message of read(chunk)) resolve(message.outcome)
    })
  })
  socket.write(encodeEarlierRun(1, READ))
  return await answer.finally(() => socket.destroy())
}

/** Requests with a text that a proxy of an earlier build reads as another one. */
const ACTIONS: readonly HomeAction[] = [
  { kind: 'query', access: 'write', text: 'WRITE a caf\udce9' },
  { kind: 'execute', access: 'write', shape: 'q\udcff', args: 'a' },
  { kind: 'execute', access: 'read', shape: 'q', args: '\udcff' },
  { kind: 'execute', access: 'read', shape: `\ufeff${'q'.repeat(64)}`, args: 'a' },
]
const UNREADABLE: readonly StatementRequest[] = [
  ...ACTIONS.map((action) => ({ ...READ, action })),
  { ...READ, id: '\udcff' },
  { ...READ, values: [['tz', '\udcff']] },
  { ...READ, values: [['\udcff', 'utc']] },
]

// Guards against UNASKED: a home of an earlier build ran the text with U+FFFD in the place of bytes that are not UTF-8.
test('a home of an earlier build runs well-formed requests, and refuses others without running them', async () => {
  const { link, received } = await linkToEarlierHome(DONE)
  for (const text of ['READ a', 'READ café \u{1f600}', 'READ \ufffd']) {
    const request: StatementRequest = { ...READ, action: { kind: 'query', access: 'read', text } }
    expect(await link.run(request)).toEqual({ kind: 'outcome', outcome: DONE })
    expect(received.splice(0)).toEqual([request])
  }
  const refused = statementFailure('aborted', 'not_home')
  for (const request of UNREADABLE) {
    expect(await link.run(request)).toEqual({ kind: 'outcome', outcome: { reply: refused, state: 'idle' } })
    const inTransaction = { ...request, transaction: 'x.1' }
    expect(await link.run(inTransaction)).toEqual({ kind: 'outcome', outcome: { reply: refused, state: 'failed' } })
  }
  expect(received).toEqual([])
})

// Guards against MIXED: an entry of an earlier build passed on rows with U+FFFD in the place of bytes that are not UTF-8.
test('an entry of an earlier build reads well-formed outcomes, unknown ones for other rows, and failures with their kind', async () => {
  expect(await askFromEarlierEntry(DONE)).toEqual(DONE)
  const unreadable = { reply: statementFailure('outcomeUnknown', 'unreadable_reply'), state: 'open' }
  for (const change of [{ rows: ['a', 'caf\udce9'] }, { signature: '\udcff' }]) {
    expect(await askFromEarlierEntry({ reply: { ...DONE.reply, ...change } as StatementOutcome['reply'], state: 'open' })).toEqual(unreadable)
  }
  const busy = statementFailure('busy', 'overloaded', { text: '\udcff', retryAfterMs: 20 })
  expect(await askFromEarlierEntry({ reply: busy, state: 'failed' })).toEqual({ reply: { ...busy, text: 'overloaded' }, state: 'failed' })
})

// Guards against U+FFFD in the place of bytes that are not UTF-8, on the way to a home and back.
test('a home gets the texts of a request, and an entry those of its outcome, as they are', async () => {
  const outcome: StatementOutcome = { reply: { kind: 'done', rows: ['\udce9', 'é'], signature: '\udcff', position: null }, state: 'idle' }
  const { received, homeOf } = createHome(outcome)
  const server = await createStatementLinkServer({ listen: LISTEN, homeOf })
  const link = createStatementLink({ address: server.address })
  cleanUp.push(server.close, link.close)
  for (const request of UNREADABLE) {
    expect(await link.run(request)).toEqual({ kind: 'outcome', outcome })
    expect(received.splice(0)).toEqual([request])
  }
})
