import { expect, test } from 'vitest'
import { statementFailure, type StatementRequest } from '@briarpick/types'
import { type StatementHome, type StatementOutcome } from '@briarpick/statement-home'
import { createStatementLink, createStatementLinkServer } from '../src/index.js'
import { READ } from './readRequest.js'

const DONE: StatementOutcome = { reply: { kind: 'done', rows: [], signature: 's', position: null }, state: 'idle' }
const WRITE: StatementRequest = { ...READ, action: { kind: 'query', access: 'write', text: 'WRITE a b' } }

// Guards against one request that ends the link, so that the writes of all other callers on it have an unknown outcome.
test('a request that fails unexpectedly at a home has an unknown outcome, and others on the link get theirs', async () => {
  const rolledBack: string[] = []
  const run = async ({ id }: StatementRequest) => {
    if (id === 'failing') throw new Error('unexpected')
    await new Promise((resolve) => setTimeout(resolve, 50))
    return DONE
  }
  const home = { run, rollBack: (key: string) => rolledBack.push(key) } as unknown as StatementHome
  const server = await createStatementLinkServer({ listen: { host: '127.0.0.1', port: 0 }, homeOf: () => home })
  const link = createStatementLink({ address: server.address })
  const [other, single, inTransaction] = await Promise.all([
    link.run(WRITE),
    link.run({ ...WRITE, id: 'failing' }),
    link.run({ ...WRITE, id: 'failing', transaction: 'x.1', begins: 'write', beginId: 'b' }),
  ])
  expect(other).toEqual({ kind: 'outcome', outcome: DONE })
  const reply = statementFailure('outcomeUnknown', 'internal_error')
  expect(single).toEqual({ kind: 'outcome', outcome: { reply, state: 'idle' } })
  expect(inTransaction).toEqual({ kind: 'outcome', outcome: { reply, state: 'failed' } })
  expect(rolledBack).toEqual(['x.1'])
  await link.close()
  await server.close()
})
