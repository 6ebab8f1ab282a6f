import { type Backlog, createRankQueue, type RankQueue } from './createRankQueue.js'
import { createNode, type FairWork, type WorkNode } from './workList.js'

/** New work whose place in the queue is to be estimated. */
export interface FairCandidate extends Pick<FairWork, 'rank' | 'team' | 'costMs' | 'needsPrimary'> {
  /** False if it will miss its latency target: it then goes after all work of its rank. */
  readonly canBeOnTime: boolean
}

/**
 * Queue of work that waits for slots, fair to teams. Lower ranks go first; work of a higher rank goes before only if it could not
 * have waited, and the work before it can. It answers the loads of a loud team, of a flood of low priority, and of a surge of high
 * priority.
 */
export interface FairWorkQueue {
  push: (work: FairWork) => void
  /** Starts work while `hasCapacity` holds, and expires the overdue work that it encounters. */
  serve: (now: number, hasCapacity: () => boolean) => void
  /** Work that would start before new work, that itself included. */
  ahead: (candidate: FairCandidate) => Backlog
  /** True if a team has more than an equal share of the waiting work of a rank. */
  isLoud: (rank: number, team: string | null) => boolean
  /** Charges a team for work that was started without waiting. */
  charge: (work: Pick<FairWork, 'rank' | 'team' | 'costMs'>) => void
  remove: (work: FairWork) => void
  /** Removes and returns all work. */
  takeAll: () => readonly FairWork[]
  size: () => number
  /** Ranks of waiting work, in ascending order. */
  ranks: () => readonly number[]
  /** Number of teams with state, counted for each rank. */
  teams: () => number
}

/** Options of a fair queue. */
export interface FairWorkQueueOptions {
  /** Number of statements that all targets run at once. */
  readonly slots: () => number
}

/** Work that is chosen to start next, and the rank that it waits in. */
interface Choice {
  readonly node: WorkNode
  readonly queue: RankQueue
}

/** State of one call of `serve`. */
interface Pass {
  readonly now: number
  readonly blockedLanes: Set<string>
  /** Work that could not be started, and teams whose work cannot be started, each by one of its nodes. */
  readonly setAside: Choice[]
  readonly setAsideTeams: Choice[]
}

/** Number of requests that a pass tries to start in vain, as when the only free targets lack the data that they must see. */
const MAX_FAILED_STARTS = 16
/** Number of teams that a pass passes over because their work cannot be started. */
const MAX_TEAMS_PASSED_OVER = 64
/** Part of its slack that waiting work keeps when work of a lower priority goes before it. */
const KEPT_SLACK_FRACTION = 0.5

/** Creates an empty queue. */
export function createFairWorkQueue (opts: FairWorkQueueOptions): FairWorkQueue {
  /** Queues by rank, in ascending order. */
  let ranks: ReadonlyArray<{ readonly rank: number, readonly queue: RankQueue }> = []
  const nodes = new Map<FairWork, WorkNode>()
  let lastSequence = 0
  let serving = false

  function queueOf (rank: number): RankQueue {
    for (const each of ranks) if (each.rank === rank) return each.queue
    const queue = createRankQueue()
    ranks = [...ranks, { rank, queue }].sort((a, b) => a.rank - b.rank)
    return queue
  }

  function expire ({ work }: WorkNode): void {
    nodes.delete(work)
    work.expire()
  }

  function choose (pass: Pass): Choice | undefined {
    for (let index = 0; index < ranks.length; index += 1) {
      const { queue } = ranks[index]
      const node = queue.next(pass.now, pass.blockedLanes, expire)
      if (node !== undefined) return choosePressed(index, pass) ?? { node, queue }
    }
    return undefined
  }

  /** Work of a lower priority that would be late behind the work of this rank and those before it, if they can all wait for it. */
  function choosePressed (chosenIndex: number, pass: Pass): Choice | undefined {
    let aheadMs = 0
    let minSlackMs = Infinity
    for (let index = 0; index < ranks.length; index += 1) {
      const { queue } = ranks[index]
      if (turnMs(aheadMs) > minSlackMs * KEPT_SLACK_FRACTION) return undefined
      if (index > chosenIndex) {
        const node = queue.next(pass.now, pass.blockedLanes, expire)
        if (node !== undefined && isPressed(node.work, aheadMs, minSlackMs, pass.now)) return { node, queue }
      }
      aheadMs += queue.backlog().allMs
      minSlackMs = Math.min(minSlackMs, queue.minSlackMs(pass.now))
    }
    return undefined
  }

  function isPressed ({ lateAt, costMs }: FairWork, aheadMs: number, minSlackMs: number, now: number): boolean {
    const waitMs = turnMs(aheadMs + costMs)
    const slackMs = lateAt - now
    return slackMs > 0 && slackMs <= waitMs && waitMs <= minSlackMs * KEPT_SLACK_FRACTION
  }

  /** Time until all slots together have done work of this cost, in ms. */
  function turnMs (costMs: number): number {
    return costMs / Math.max(1, opts.slots())
  }

  function tryStart ({ node, queue }: Choice, pass: Pass): void {
    const { work } = node
    if (!work.hasSlot()) {
      pass.blockedLanes.add(work.lane)
    } else if (!work.canStart()) {
      queue.setAsideTeam(node)
      pass.setAsideTeams.push({ node, queue })
    } else if (work.start()) {
      nodes.delete(work)
      queue.removeStarted(node)
    } else {
      queue.setAside(node)
      pass.setAside.push({ node, queue })
    }
  }

  function servePass (pass: Pass, hasCapacity: () => boolean): void {
    const maySkip = () => pass.setAside.length < MAX_FAILED_STARTS && pass.setAsideTeams.length < MAX_TEAMS_PASSED_OVER
    while (hasCapacity() && maySkip()) {
      const choice = choose(pass)
      if (choice === undefined) break
      tryStart(choice, pass)
    }
    for (const { node, queue } of pass.setAside.reverse()) queue.restore(node)
    for (const { node, queue } of pass.setAsideTeams) queue.restoreTeam(node)
  }

  return {
    push (work) {
      lastSequence += 1
      const node = createNode(work, lastSequence)
      nodes.set(work, node)
      queueOf(work.rank).push(node)
    },
    serve (now, hasCapacity) {
      if (serving || nodes.size === 0 || !hasCapacity()) return
      serving = true
      try {
        servePass({ now, blockedLanes: new Set(), setAside: [], setAsideTeams: [] }, hasCapacity)
      } finally {
        serving = false
      }
    },
    ahead ({ rank, team, costMs, needsPrimary, canBeOnTime }) {
      let allMs = costMs
      let needPrimaryMs = needsPrimary ? costMs : 0
      for (const each of ranks) {
        if (each.rank > rank) break
        const backlog = each.rank === rank && canBeOnTime ? each.queue.ahead(team, costMs, needsPrimary) : each.queue.backlog()
        allMs += backlog.allMs
        needPrimaryMs += backlog.needPrimaryMs
      }
      return { allMs, needPrimaryMs }
    },
    isLoud: (rank, team) => queueOf(rank).isLoud(team),
    charge ({ rank, team, costMs }) {
      queueOf(rank).charge(team, costMs)
    },
    remove (work) {
      const node = nodes.get(work)
      if (node === undefined) return
      nodes.delete(work)
      queueOf(work.rank).remove(node)
    },
    takeAll () {
      const all = [...nodes.keys()]
      nodes.clear()
      ranks = []
      return all
    },
    size: () => nodes.size,
    ranks: () => ranks.filter(({ queue }) => queue.size() > 0).map(({ rank }) => rank),
    teams: () => ranks.reduce((sum, { queue }) => sum + queue.teams(), 0),
  }
}
