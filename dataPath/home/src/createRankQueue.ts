import { createBacklogClasses, createMinHeap, type MinHeap } from '@briarpick/admission'
import { isLate, isOverloaded } from './createWorkQueue.js'
import { createWorkList, type FairWork, insertNode, removeNode, type WorkList, type WorkNode } from './workList.js'

/** Expected slot time of waiting work, in ms. */
export interface Backlog {
  readonly allMs: number
  readonly needPrimaryMs: number
}

/** Waiting work of one rank, served by start-time fair queueing between teams: the load that it answers is a loud team. */
export interface RankQueue {
  push: (node: WorkNode) => void
  /** Removes a node that left without being started. */
  remove: (node: WorkNode) => void
  /** Removes a node that was started, and charges its team. */
  removeStarted: (node: WorkNode) => void
  /** Charges a team for work that was started without waiting. */
  charge: (team: string | null, costMs: number) => void
  /** Takes a node out of the order for the rest of a pass; `restore` puts it back. */
  setAside: (node: WorkNode) => void
  restore: (node: WorkNode) => void
  /** Takes all work of the team of a node, which was returned by `next`, out of the order of its lane; `restoreTeam` puts it back. */
  setAsideTeam: (node: WorkNode) => void
  restoreTeam: (node: WorkNode) => void
  /** The next work on time or else the next late work, apart from that in the given lanes; expires the overdue work that it encounters. */
  next: (now: number, blockedLanes: ReadonlySet<string>, expire: (node: WorkNode) => void) => WorkNode | undefined
  /** Work that goes before new work of a team that costs `costMs`. */
  ahead: (team: string | null, costMs: number, needsPrimary: boolean) => Backlog
  /** True if a team has more than an equal share of the waiting work on time. */
  isLoud: (team: string | null) => boolean
  /** All work of this rank. */
  backlog: () => Backlog
  /** Time within which all its work must start to be on time, in ms; 0 if some is late or has no latency target, Infinity if none waits. */
  minSlackMs: (now: number) => number
  size: () => number
  /** Number of teams with state. */
  teams: () => number
}

/** Work of one team. */
interface Flow {
  readonly team: string | null
  /** Start tag of its next work: slot time in ms, comparable with the virtual time of the rank. */
  tag: number
  waiting: number
  onTimeMs: number
  onTimePrimaryMs: number
  readonly lanes: Map<string, FlowLane>
}

/** Work of one team that the same targets can serve. */
interface FlowLane {
  readonly flow: Flow
  readonly onTime: WorkList
  readonly late: WorkList
}

/** Place of a team in the order of a lane. Its tag may be outdated, since tags only grow; it is then corrected at the top. */
interface LaneEntry {
  readonly lane: FlowLane
  readonly tag: number
}

/** Chooses the next node of a team in a lane; undefined if it has none. */
type PickNode = (lane: FlowLane) => WorkNode | undefined

/** One heap of teams for each lane. A team is in it at most once. */
interface LaneOrder {
  readonly heaps: Map<string, MinHeap<LaneEntry>>
  readonly members: Set<FlowLane>
}

/** Number of teams with state from which those without work and credit are forgotten. */
const MIN_SWEEP_TEAMS = 64

/** Number of teams without waiting work that are remembered for what they were served ahead of others. */
const MAX_IDLE_TEAMS = 512

/** Creates an empty queue. */
export function createRankQueue (): RankQueue {
  const flows = new Map<string | null, Flow>()
  const onTimeOrder: LaneOrder = { heaps: new Map(), members: new Set() }
  const lateOrder: LaneOrder = { heaps: new Map(), members: new Set() }
  const byLateAt = createMinHeap<WorkNode>((a, b) => a.work.lateAt < b.work.lateAt)
  const classes = createBacklogClasses()
  const primaryClasses = createBacklogClasses()
  let virtualTime = 0
  let sweepAt = MIN_SWEEP_TEAMS
  let waiting = 0
  let waitingTeams = 0
  let onTimeMs = 0
  let untimed = 0
  let totalMs = 0
  let totalPrimaryMs = 0

  function flowOf (team: string | null): Flow {
    const known = flows.get(team)
    if (known !== undefined) {
      if (known.waiting === 0) known.tag = Math.max(known.tag, virtualTime)
      return known
    }
    if (flows.size >= sweepAt) sweep()
    const flow: Flow = { team, tag: virtualTime, waiting: 0, onTimeMs: 0, onTimePrimaryMs: 0, lanes: new Map() }
    flows.set(team, flow)
    return flow
  }

  /** Forgets idle teams that would start at the virtual time anyway, and of too many others those that owe the least. */
  function sweep (): void {
    const idle = [...flows.values()].filter(({ waiting }) => waiting === 0).sort((a, b) => b.tag - a.tag)
    for (const [index, { team, tag }] of idle.entries()) if (tag <= virtualTime || index >= MAX_IDLE_TEAMS) flows.delete(team)
    sweepAt = Math.max(MIN_SWEEP_TEAMS, 2 * flows.size)
  }

  function laneOf (flow: Flow, name: string): FlowLane {
    const known = flow.lanes.get(name)
    if (known !== undefined) return known
    const lane: FlowLane = { flow, onTime: createWorkList(), late: createWorkList() }
    flow.lanes.set(name, lane)
    return lane
  }

  function enter (order: LaneOrder, name: string, lane: FlowLane): void {
    if (order.members.has(lane)) return
    order.members.add(lane)
    const heap = order.heaps.get(name) ?? createMinHeap<LaneEntry>((a, b) => a.tag < b.tag)
    order.heaps.set(name, heap)
    heap.push({ lane, tag: lane.flow.tag })
  }

  /** Adds or subtracts the cost of work on time. */
  function countOnTime ({ team, costMs, needsPrimary }: FairWork, sign: 1 | -1): void {
    const flow = flowOf(team)
    const nextMs = Math.max(0, flow.onTimeMs + sign * costMs)
    onTimeMs += nextMs - flow.onTimeMs
    classes.update(flow.onTimeMs, nextMs)
    flow.onTimeMs = nextMs
    if (!needsPrimary) return
    const nextPrimaryMs = Math.max(0, flow.onTimePrimaryMs + sign * costMs)
    primaryClasses.update(flow.onTimePrimaryMs, nextPrimaryMs)
    flow.onTimePrimaryMs = nextPrimaryMs
  }

  function place (node: WorkNode): void {
    const { lane: name, team } = node.work
    const lane = laneOf(flowOf(team), name)
    insertNode(node.isCountedLate ? lane.late : lane.onTime, node)
    enter(node.isCountedLate ? lateOrder : onTimeOrder, name, lane)
  }

  function moveToLate (node: WorkNode): void {
    removeNode(node)
    countOnTime(node.work, -1)
    node.isCountedLate = true
    place(node)
  }

  function remove (node: WorkNode): void {
    if (!node.isWaiting) return
    const { team, costMs, needsPrimary, lateAt } = node.work
    node.isWaiting = false
    if (!node.isCountedLate) countOnTime(node.work, -1)
    removeNode(node)
    leaveFlow(flowOf(team))
    if (lateAt === Infinity) untimed -= 1
    totalMs -= costMs
    if (needsPrimary) totalPrimaryMs -= costMs
    waiting -= 1
    if (waiting === 0) endBusyPeriod()
  }

  /** Counts one item less; without any, the backlog is set to zero, so that rounding errors do not add up. */
  function leaveFlow (flow: Flow): void {
    flow.waiting -= 1
    if (flow.waiting > 0) return
    waitingTeams -= 1
    onTimeMs -= flow.onTimeMs
    classes.update(flow.onTimeMs, 0)
    primaryClasses.update(flow.onTimePrimaryMs, 0)
    flow.onTimeMs = 0
    flow.onTimePrimaryMs = 0
  }

  /** Without waiting work nobody competes, so nothing is owed. */
  function endBusyPeriod (): void {
    flows.clear()
    for (const order of [onTimeOrder, lateOrder]) {
      order.heaps.clear()
      order.members.clear()
    }
    virtualTime = 0
    totalMs = 0
    onTimeMs = 0
    totalPrimaryMs = 0
    sweepAt = MIN_SWEEP_TEAMS
  }

  function charge (flow: Flow, costMs: number): void {
    virtualTime = Math.max(virtualTime, flow.tag)
    flow.tag += costMs
  }

  /** The node of a lane that is next among those on time: the oldest, or the newest under overload. */
  function nextOnTime ({ onTime }: FlowLane, now: number): WorkNode | undefined {
    for (;;) {
      const { first, last } = onTime
      if (first === undefined || last === undefined) return undefined
      const node = !isLate(first.work, now) && isOverloaded(first.work, now) ? last : first
      if (!isLate(node.work, now)) return node
      moveToLate(node)
    }
  }

  /** The next node of the team with the lowest tag in a lane. */
  function topOf (order: LaneOrder, heap: MinHeap<LaneEntry>, pick: PickNode): WorkNode | undefined {
    for (;;) {
      const entry = heap.peek()
      if (entry === undefined) return undefined
      const { lane, tag } = entry
      const isOutdated = tag !== lane.flow.tag
      const node = isOutdated ? undefined : pick(lane)
      if (node !== undefined) return node
      heap.pop()
      if (isOutdated) heap.push({ lane, tag: lane.flow.tag })
      else order.members.delete(lane)
    }
  }

  function lowest (order: LaneOrder, blockedLanes: ReadonlySet<string>, pick: PickNode): WorkNode | undefined {
    let best: WorkNode | undefined
    for (const [name, heap] of order.heaps) {
      if (blockedLanes.has(name)) continue
      const node = topOf(order, heap, pick)
      if (node !== undefined && (best === undefined || isBefore(node, best))) best = node
    }
    return best
  }

  function isBefore (a: WorkNode, b: WorkNode): boolean {
    const byTag = flowOf(a.work.team).tag - flowOf(b.work.team).tag
    return byTag < 0 || (byTag === 0 && a.sequence < b.sequence)
  }

  return {
    push (node) {
      const { team, costMs, needsPrimary, lateAt } = node.work
      waiting += 1
      const flow = flowOf(team)
      if (flow.waiting === 0) waitingTeams += 1
      flow.waiting += 1
      countOnTime(node.work, 1)
      place(node)
      totalMs += costMs
      if (needsPrimary) totalPrimaryMs += costMs
      if (lateAt === Infinity) untimed += 1
      else byLateAt.push(node)
      dropGone(byLateAt)
    },
    remove,
    removeStarted (node) {
      charge(flowOf(node.work.team), node.work.costMs)
      remove(node)
    },
    charge (team, costMs) {
      if (waiting > 0) charge(flowOf(team), costMs)
    },
    setAside: removeNode,
    restore (node) {
      if (node.isWaiting) place(node)
    },
    setAsideTeam ({ work, isCountedLate }) {
      const order = isCountedLate ? lateOrder : onTimeOrder
      const heap = order.heaps.get(work.lane)
      const lane = flows.get(work.team)?.lanes.get(work.lane)
      if (lane === undefined || heap?.peek()?.lane !== lane) return
      heap.pop()
      order.members.delete(lane)
    },
    restoreTeam ({ work }) {
      const lane = flows.get(work.team)?.lanes.get(work.lane)
      if (lane === undefined) return
      if (lane.onTime.first !== undefined) enter(onTimeOrder, work.lane, lane)
      if (lane.late.first !== undefined) enter(lateOrder, work.lane, lane)
    },
    next (now, blockedLanes, expire) {
      for (;;) {
        const node = lowest(onTimeOrder, blockedLanes, (lane) => nextOnTime(lane, now)) ??
          lowest(lateOrder, blockedLanes, ({ late }) => late.first)
        if (node === undefined || now < node.work.expiresAt) return node
        remove(node)
        expire(node)
      }
    },
    ahead (team, costMs, needsPrimary) {
      const flow = flows.get(team)
      return {
        allMs: classes.sumUpTo((flow?.onTimeMs ?? 0) + costMs),
        needPrimaryMs: needsPrimary ? primaryClasses.sumUpTo((flow?.onTimePrimaryMs ?? 0) + costMs) : 0,
      }
    },
    isLoud: (team) => (flows.get(team)?.onTimeMs ?? 0) * waitingTeams > onTimeMs,
    backlog: () => ({ allMs: totalMs, needPrimaryMs: totalPrimaryMs }),
    minSlackMs (now) {
      if (untimed > 0) return 0
      dropGone(byLateAt)
      const earliest = byLateAt.peek()
      return earliest === undefined ? Infinity : Math.max(0, earliest.work.lateAt - now)
    },
    size: () => waiting,
    teams: () => flows.size,
  }
}

/** Removes nodes that have left from the top of the heap. */
function dropGone (heap: MinHeap<WorkNode>): void {
  for (let top = heap.peek(); top !== undefined && !top.isWaiting; top = heap.peek()) heap.pop()
}
