import { type Backlog } from './createRankQueue.js'
import { createFairWorkQueue, type FairCandidate, type FairWorkQueue, type FairWorkQueueOptions } from './createFairWorkQueue.js'
import { createWorkQueue } from './createWorkQueue.js'
import { type FairWork } from './workList.js'

/** Queue of a home's waiting requests: by arrival within a priority or, in a deployment with teams, fair to them. */
export interface RequestQueue extends Omit<FairWorkQueue, 'ahead' | 'teams'> {
  /** Work that would start before new work, that itself included. */
  ahead: (candidate: FairCandidate, now: number) => Backlog
}

/** Options of a request queue. */
export interface RequestQueueOptions extends FairWorkQueueOptions {
  /** True if requests are to be served fairly to teams; may change while requests wait. */
  readonly isFair: () => boolean
  /** Average time that a statement holds a slot, in ms: the cost of each request in the queue by arrival. */
  readonly meanServiceTimeMs: () => number
}

/** Creates an empty queue. */
export function createRequestQueue (opts: RequestQueueOptions): RequestQueue {
  const plain = createWorkQueue<FairWork>()
  const fair = createFairWorkQueue(opts)
  let wasFair = opts.isFair()

  /** The queue in force. Waiting work moves to it after a change of the deployment. */
  function current () {
    const isFair = opts.isFair()
    const queue = isFair ? fair : plain
    if (isFair !== wasFair) {
      wasFair = isFair
      for (const work of (isFair ? plain : fair).takeAll()) queue.push(work)
    }
    return queue
  }

  function aheadByArrival ({ rank, canBeOnTime }: FairCandidate, now: number): Backlog {
    const count = canBeOnTime ? plain.ahead(rank, now) : { all: plain.size(), needPrimary: plain.size() }
    const meanMs = opts.meanServiceTimeMs()
    return { allMs: (count.all + 1) * meanMs, needPrimaryMs: (count.needPrimary + 1) * meanMs }
  }

  return {
    push: (work) => current().push(work),
    serve: (now, hasCapacity) => current().serve(now, hasCapacity),
    ahead: (candidate, now) => current() === fair ? fair.ahead(candidate) : aheadByArrival(candidate, now),
    isLoud: fair.isLoud,
    charge (work) {
      if (current() === fair) fair.charge(work)
    },
    remove: (work) => current().remove(work),
    takeAll: () => current().takeAll(),
    size: () => plain.size() + fair.size(),
    ranks: fair.ranks,
  }
}
