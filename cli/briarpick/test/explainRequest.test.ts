import { expect, test } from 'vitest'
import { explainRequest } from '../src/explainRequest.js'

const line = (second: number, event: string, fields: object = {}, vm = 'vm-1') =>
  JSON.stringify({ level: 30, time: `2026-12-04T10:00:${String(second).padStart(2, '0')}.000Z`, vm, process: 'proxy', topic: 't', event, ...fields })

const ENTRY = [line(3, 'statementFailed', { id: 'x1', database: 'ledger', reason: 'no_primary' }), line(4, 'statementFailed', { id: 'x2', database: 'ledger' })].join('\n')
const HOME = [
  line(2, 'primaryDecision', { database: 'ledger', decision: 'promote silent' }, 'vm-2'),
  line(2, 'primaryDecision', { database: 'other', decision: 'keep' }, 'vm-2'),
  line(3, 'statementFailed', { id: 'x1', database: 'ledger', reason: 'no_primary' }, 'vm-2'),
  line(30, 'roleChanged', { role: 'leader' }, 'vm-2'),
  'not a line of JSON',
  '{"torn',
].join('\n')

test('the timeline of a request rejected during a failover has the decision that caused it, then the rejections, and no other line', () => {
  const timeline = explainRequest('x1', [ENTRY, HOME], { aroundMs: 2000 })
  expect(timeline.isOk && timeline.value.map((text) => text.replace(/ +/g, ' '))).toEqual([
    ' -1000 ms vm-2/proxy t event=primaryDecision database=ledger decision="promote silent"',
    '> +0 ms vm-1/proxy t event=statementFailed id=x1 database=ledger reason=no_primary',
    '> +0 ms vm-2/proxy t event=statementFailed id=x1 database=ledger reason=no_primary',
  ])
})

test('an id that is in no log is an error whose hint says which logs to pass', () => {
  const timeline = explainRequest('gone', [ENTRY], { aroundMs: 2000 })
  expect(timeline.isErr && timeline.error.hint).toContain('entry')
})

// Guards against a state change that is left out: the part of the database's name before a slash was taken for the whole.
test('the state changes of a database whose name has a slash are shown, and those of its namesakes are not', () => {
  const log = ['team/ledger', 'team', 'ledger'].map((database) => line(2, 'freeze', { database })).join('\n')
  const entry = line(3, 'statementFailed', { id: 'x1', database: 'team/ledger' })
  const timeline = explainRequest('x1', [log, entry], { aroundMs: 2000 })
  expect(timeline.isOk && timeline.value.filter((text) => text.includes('freeze'))).toEqual([expect.stringContaining('database=team/ledger')])
})

test('the commands of control in logs of earlier versions, which have a key, are shown', () => {
  const log = ['ledger', 'ledger/i-1', 'ledger-2', 'other/i-1'].map((key) => line(2, 'removeTarget', { key })).join('\n')
  const timeline = explainRequest('x1', [log, ENTRY], { aroundMs: 2000 })
  expect(timeline.isOk && timeline.value.filter((text) => text.includes('removeTarget'))).toHaveLength(2)
})

test('a request whose id was too long for the log is found by the whole id, and no other line has an id that is a part of it', () => {
  const log = [line(3, 'statementFailed', { id: 'x1y', cut: 'id,text' }), line(4, 'statementFailed', { id: 'x1', cut: 'text' })].join('\n')
  const timeline = explainRequest('x1yz', [log], { aroundMs: 0 })
  expect(timeline.isOk && timeline.value).toHaveLength(1)
  expect(explainRequest('x', [log], { aroundMs: 0 }).isErr).toBe(true)
})
