import { expect, test } from 'vitest'
import { type StatementRequest } from '@briarpick/types'
import { type TeamLimiter } from '@briarpick/team-limits'
import { createTeamCharge } from '../src/createTeamCharge.js'

const REQUEST = { id: '1', team: 'blue', database: 'd', aimMs: 600, ageMs: 0, deadlineMs: 2000 } as StatementRequest

/** A limiter that admits a number of operations, and more after each wait, and counts what becomes of their tokens. */
function fakeLimiter (room: number, { expectedInMs = 1000, perWait = 0 } = {}) {
  const calls = { charged: 0, settled: 0, givenBack: 0, waits: 0 }
  const limiter: Pick<TeamLimiter, 'charge' | 'waitForToken' | 'refuse' | 'settle' | 'giveBack'> = {
    charge () {
      if (calls.charged === room + calls.waits * perWait) {
        return { expectedInMs, retryAfterMs: 40, limit: { ratePerS: 1, burst: 0 }, share: 0.5, tokens: 0, version: [1, 1] }
      }
      calls.charged += 1
      return undefined
    },
    async waitForToken () { calls.waits += 1 },
    refuse () {},
    settle () { calls.settled += 1 },
    giveBack () { calls.givenBack += 1 },
  }
  return { limiter: limiter as TeamLimiter, calls }
}

test('an operation that is never sent gives its token back, however often it is tried', async () => {
  const { limiter, calls } = fakeLimiter(9)
  const charge = createTeamCharge(limiter, REQUEST)
  for (let attempt = 0; attempt < 3; attempt += 1) expect(await charge.acquire()).toBeUndefined()
  charge.close()
  expect(calls).toEqual({ charged: 1, settled: 0, givenBack: 1, waits: 0 })
})

test('each attempt that may have run costs a token, and a retry beyond the limit ends as aborted like other lost reads', async () => {
  const { limiter, calls } = fakeLimiter(2)
  const charge = createTeamCharge(limiter, REQUEST)
  for (let attempt = 0; attempt < 2; attempt += 1) {
    expect(await charge.acquire()).toBeUndefined()
    charge.use()
  }
  expect(await charge.acquire()).toMatchObject({ error: 'aborted', reason: 'rate_limited_retry' })
  charge.close()
  expect(calls).toEqual({ charged: 2, settled: 2, givenBack: 0, waits: 0 })
})

test('an operation beyond the limit is refused as not run, with the time to return', async () => {
  const charge = createTeamCharge(fakeLimiter(0).limiter, REQUEST)
  expect(await charge.acquire()).toMatchObject({ error: 'busy', reason: 'rate_limited', fate: 'notRun', retryAfterMs: 40 })
})

test('a caller without a team is not counted', async () => {
  const { limiter, calls } = fakeLimiter(0)
  expect(await createTeamCharge(limiter, { ...REQUEST, team: null }).acquire()).toBeUndefined()
  expect(calls.charged).toBe(0)
})

test('an operation waits for a token that is expected while its aim can be met, and is refused at once otherwise', async () => {
  const soon = fakeLimiter(0, { expectedInMs: 100, perWait: 1 })
  expect(await createTeamCharge(soon.limiter, REQUEST).acquire()).toBeUndefined()
  expect(soon.calls).toMatchObject({ charged: 1, waits: 1 })
  const late = fakeLimiter(0, { expectedInMs: 700, perWait: 1 })
  expect(await createTeamCharge(late.limiter, REQUEST).acquire()).toMatchObject({ reason: 'rate_limited' })
  expect(late.calls.waits).toBe(0)
})
