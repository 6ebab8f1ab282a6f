import { createFairWorkQueue, createWorkQueue, type FairWork } from '@briarpick/statement-home'
import { atMost, type Experiment, round } from '../parts/experiment.js'

const WAITING_COUNTS = [100, 1000, 10_000]
const WAITING_PER_TEAM = 10
const RANKS = 3
/** Every so many requests, one needs the primary, which is busy. */
const WRITE_EVERY = 4
/** Decisions of each kind that are measured together. */
const BATCH = 50
const BATCH_INTERVAL_MS = 5
const WARM_UP_BATCHES = 500
const COST_MS = 10
const SLOTS = 12
const MAX_DECISION_US = 20

/** Either queue, with the estimate that is made on arrival. */
interface Subject {
  readonly name: string
  readonly create: () => {
    readonly push: (work: FairWork) => void
    readonly remove: (work: FairWork) => void
    readonly serve: (now: number, hasCapacity: () => boolean) => void
    readonly estimate: (work: FairWork) => unknown
  }
}

const SUBJECTS: readonly Subject[] = [
  {
    name: 'plain',
    create () {
      const queue = createWorkQueue()
      return { ...queue, estimate: ({ rank }) => queue.ahead(rank, 0) }
    },
  },
  {
    name: 'fair',
    create () {
      const queue = createFairWorkQueue({ slots: () => SLOTS })
      return { ...queue, estimate: (work) => queue.ahead({ ...work, canBeOnTime: true }) }
    },
  },
]

/** Decisions of the queue: whether an arriving request may wait, removal of one that left, and which one starts in a free slot. */
type Decision = 'arrival' | 'leaving' | 'start'

interface Point {
  readonly queue: string
  readonly waiting: number
  /** Mean processor time of each decision, in µs. */
  readonly us: Readonly<Record<Decision, number>>
}

/** Processor time of the decisions of a queue over the number of waiting requests. */
export const queueDecision: Experiment = async ({ short, print }) => {
  const batches = short ? 100 : 500
  const points: Point[] = []
  for (const { create } of SUBJECTS) measure(create(), WAITING_COUNTS[0], WARM_UP_BATCHES)
  for (const { name, create } of SUBJECTS) {
    for (const waiting of WAITING_COUNTS) {
      points.push({ queue: name, waiting, us: measure(create(), waiting, batches) })
      print(JSON.stringify(points.at(-1)))
    }
  }
  const worst = Math.max(...points.filter(({ queue }) => queue === 'fair').flatMap(({ us }) => Object.values(us)))
  return { name: 'queueDecision', aims: [atMost('decision of the fair queue at up to 10,000 waiting requests', worst, MAX_DECISION_US, ' µs')], data: points }
}

/** Runs decisions that keep the number of waiting requests about constant. */
function measure (queue: ReturnType<Subject['create']>, waiting: number, batches: number): Point['us'] {
  const teams = Math.ceil(waiting / WAITING_PER_TEAM)
  const totals: Record<Decision, number> = { arrival: 0, leaving: 0, start: 0 }
  let started = 0
  let now = 0
  const create = (index: number, needsPrimary: boolean): FairWork => ({
    rank: index % RANKS,
    team: `team-${index % teams}`,
    lane: needsPrimary ? 'primary' : 'read',
    costMs: COST_MS,
    needsPrimary,
    queuedAt: now,
    lateAt: now + 250 + index % 7,
    expiresAt: Infinity,
    hasSlot: () => !needsPrimary,
    canStart: () => true,
    start () {
      started += 1
      return true
    },
    expire: () => {},
  })
  function time (decision: Decision, run: () => void): void {
    const before = process.cpuUsage()
    run()
    const { user, system } = process.cpuUsage(before)
    totals[decision] += user + system
  }
  for (let index = 0; index < waiting; index += 1) queue.push(create(index, index % WRITE_EVERY === 0))
  for (let batch = 0; batch < batches; batch += 1) {
    now += BATCH_INTERVAL_MS
    const arriving = Array.from({ length: 2 * BATCH }, (_, index) => create(batch * BATCH + index, index % WRITE_EVERY === 1))
    time('arrival', () => {
      for (const work of arriving) {
        queue.estimate(work)
        queue.push(work)
      }
    })
    time('leaving', () => { for (let index = 1; index < arriving.length; index += 2) queue.remove(arriving[index]) })
    time('start', () => {
      for (let index = 0; index < BATCH; index += 1) {
        const limit = started + 1
        queue.serve(now, () => started < limit)
      }
    })
  }
  const decisions = batches * BATCH
  return {
    arrival: round(totals.arrival / decisions / 2),
    leaving: round(totals.leaving / decisions),
    start: round(totals.start / decisions),
  }
}
