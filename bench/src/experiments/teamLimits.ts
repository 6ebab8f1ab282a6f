import { createTeamLimiter, createTeamShares, type TeamLimiter } from '@briarpick/team-limits'
import { atMost, type Experiment, round } from '../parts/experiment.js'

const TEAMS = 10_000
const DATABASES = 6
const TOLERANCE = { windowMs: 5000, overage: 0.1, slack: 20 }
const LIMIT = { ratePerS: 100, burst: 100 }
const BYTES_PER_KIB = 1024
const MAX_CHARGE_US = 10
const MAX_RENEWAL_US = 100
const SHORT_ROUNDS = 20
const LONG_ROUNDS = 200
const RENEWALS = 2000

/** Cost of a charge, memory of a team, and cost of a renewal at the leader and at a home, with many teams of which most are idle. */
export const teamLimits: Experiment = async ({ short, print }) => {
  const names = Array.from({ length: TEAMS }, (_, i) => `team-${i}`)
  const heapBefore = heapBytes()
  const limiter = startLimiter()
  for (const team of names) limiter.charge(team)
  const bytesPerTeam = (heapBytes() - heapBefore) / TEAMS
  for (const team of names) limiter.settle(team)

  const rounds = short ? SHORT_ROUNDS : LONG_ROUNDS
  const chargeUs = microsecondsPerCall(rounds * TEAMS, (i) => {
    const team = names[i % TEAMS]
    if (limiter.charge(team) === undefined) limiter.settle(team)
  })
  const few = measureRenewal(10)
  const many = measureRenewal(TEAMS)
  const data = {
    bytesPerTeam: Math.round(bytesPerTeam),
    chargeUs: round(chargeUs),
    leaderRenewalUs: { few: round(few.leaderUs), many: round(many.leaderUs) },
    homeReportUs: { few: round(few.homeUs), many: round(many.homeUs) },
  }
  print(JSON.stringify(data))
  return {
    name: 'teamLimits',
    aims: [
      atMost('memory of a team in a home, with 10,000 teams', bytesPerTeam / BYTES_PER_KIB, 1, ' KiB'),
      atMost('charge of an operation', chargeUs, MAX_CHARGE_US, ' µs'),
      atMost('renewal at the leader with 10,000 idle teams', many.leaderUs, MAX_RENEWAL_US, ' µs'),
      atMost('report of a home with 10,000 idle teams', many.homeUs, MAX_RENEWAL_US, ' µs'),
    ],
    data,
  }
}

function startLimiter (): TeamLimiter {
  return createTeamLimiter({
    epoch: 1,
    tolerance: TOLERANCE,
    limitOf: () => LIMIT,
    databases: () => DATABASES,
    onReportChange () {},
    now: () => performance.now(),
  })
}

/** Measures a renewal of a home that has seen a number of teams, none of which runs short. */
function measureRenewal (teams: number) {
  const databases = Array.from({ length: DATABASES }, (_, i) => `ledger-${i}`)
  const [database] = databases
  const limiter = startLimiter()
  const shares = createTeamShares({
    now: () => performance.now(),
    term: 1,
    databases: () => databases,
    isHeld: () => true,
    haveEarlierLeasesExpired: () => true,
    unusedSince: () => undefined,
  })
  for (let i = 0; i < teams; i += 1) limiter.charge(`team-${i}`)
  const renewal = () => ({ assigned: [{ database, epoch: 1 }], reports: [{ database, epoch: 1, ...limiter.report() }] })
  for (const set of shares.renew(renewal()).teamShares) limiter.applyShares(set)
  const homeUs = microsecondsPerCall(RENEWALS, () => limiter.report())
  const request = renewal()
  return { homeUs, leaderUs: microsecondsPerCall(RENEWALS, () => shares.renew(request)) }
}

function microsecondsPerCall (calls: number, run: (index: number) => unknown): number {
  const startedAt = performance.now()
  for (let i = 0; i < calls; i += 1) run(i)
  return (performance.now() - startedAt) * 1000 / calls
}

function heapBytes (): number {
  globalThis.gc?.()
  return process.memoryUsage().heapUsed
}
