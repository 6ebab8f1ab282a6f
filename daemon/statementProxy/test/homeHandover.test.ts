import { setTimeout as sleep } from 'node:timers/promises'
import { expect, test } from 'vitest'
import { createDirectory } from '@briarpick/membership'
import { createMetrics } from '@briarpick/metrics'
import { createStatementHomes } from '../src/createStatementHomes.js'
import { ADDRESS, createDriver, VIEW, WRITE } from './oneDatabase.js'

test('a write that runs longer than the wait of a release is answered, and acknowledged at the next home, although that home has begun', async () => {
  const directory = createDirectory()
  const confirmed: number[] = []
  const homes = createStatementHomes({
    proxy: 'p1',
    dataCentre: 'dc',
    directory,
    driver: createDriver(300),
    limitsOf: () => ({ maxConnections: 8, transactionIdleMs: 1000, hasTeams: false }),
    leaseEnd: () => Infinity,
    async confirmCommit (_view, term) {
      confirmed.push(term)
      return true
    },
    onReportChange: () => {},
    metrics: createMetrics(),
  })
  directory.update([VIEW], 1)
  await sleep(50)
  const running = homes.find('d', null)?.run(WRITE)
  await sleep(50)
  await homes.releaseAll(50)
  directory.update([{ ...VIEW, home: { proxy: 'p2', address: ADDRESS, epoch: 2 }, homeEpoch: 2, changedAt: 2 }], 2)
  expect(await running).toMatchObject({ reply: { kind: 'done' } })
  expect(confirmed).toEqual([1])
  await homes.close()
})
