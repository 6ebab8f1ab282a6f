import { expect } from 'vitest'
import { createRaftNode } from '../src/createRaftNode.js'
import { type RaftAction, type RaftMessage, type RaftTiming, type LogEntry, type NodeId, type PersistedState } from '../src/raftTypes.js'

/** What the clusters of tests agree on. */
export type Command = string

interface Envelope {
  readonly from: NodeId
  readonly to: NodeId
  readonly message: RaftMessage<Command>
}

/** Timing of the clusters of tests. */
export const TIMING: RaftTiming = { heartbeatMs: 50, electionMinMs: 300, electionMaxMs: 600 }
/** Their voters. */
export const IDS = ['a:first', 'b:first', 'c:first'] as const

/** Nodes that exchange messages through a bag, from which a schedule takes, drops and repeats them. */
export function createCluster (random: () => number) {
  let now = 0
  const bag: Envelope[] = []
  const cut = new Set<NodeId>()
  const leaders = new Map<number, NodeId>()
  const chosen = new Map<number, LogEntry<Command>>()
  const applied = new Map<NodeId, number>()
  const stored = new Map<NodeId, PersistedState<Command>>(IDS.map((id) => [id, {
    hard: { term: 0, votedFor: null },
    snapshot: { index: 0, term: 0, voters: { voters: IDS, learners: [] }, state: null },
    entries: [],
  }]))
  const start = (id: NodeId, quietMs?: number) => {
    const persisted = stored.get(id) as PersistedState<Command>
    applied.set(id, persisted.snapshot.index)
    return createRaftNode<Command>({ id, persisted, timing: TIMING, random, now, leaderlessMs: quietMs })
  }
  const nodes = new Map(IDS.map((id) => [id as NodeId, start(id)]))

  function perform (id: NodeId, action: RaftAction<Command>): void {
    const disk = stored.get(id) as PersistedState<Command>
    if (action.kind === 'persistHard') stored.set(id, { ...disk, hard: action.hard })
    if (action.kind === 'persistEntries') {
      stored.set(id, { ...disk, entries: [...disk.entries.filter(({ index }) => index < action.truncateFrom), ...action.entries] })
    }
    if (action.kind === 'persistSnapshot') stored.set(id, { hard: action.hard, snapshot: action.snapshot, entries: action.entries })
    if (action.kind === 'send') bag.push({ from: id, to: action.to, message: action.message })
    if (action.kind === 'restore') applied.set(id, action.snapshot.index)
    if (action.kind === 'role' && action.role === 'leader') {
      const { term } = nodes.get(id)?.status() ?? { term: -1 }
      expect(leaders.get(term) ?? id, `leaders of term ${term}`).toBe(id)
      leaders.set(term, id)
    }
    if (action.kind === 'apply') {
      expect(action.entry.index).toBe((applied.get(id) ?? 0) + 1)
      applied.set(id, action.entry.index)
      expect(chosen.get(action.entry.index) ?? action.entry).toEqual(action.entry)
      chosen.set(action.entry.index, action.entry)
    }
  }

  function step (id: NodeId, event: Parameters<ReturnType<typeof start>['step']>[0]): void {
    const node = nodes.get(id)
    if (node === undefined) return
    for (const action of node.step(event, now)) perform(id, action)
    const confirmed = [...nodes.values()].filter((candidate) => candidate.isConfirmed(now))
    expect(confirmed.length, 'leaders that a quorum confirms').toBeLessThanOrEqual(1)
  }

  return {
    nodes,
    chosen,
    applied,
    cut,
    isConfirmed: (id: NodeId) => nodes.get(id)?.isConfirmed(now),
    advance (ms: number) {
      now += ms
      for (const id of IDS) step(id, { kind: 'tick' })
    },
    deliver (place: number, repeat: boolean) {
      if (bag.length === 0) return
      const at = place % bag.length
      const envelope = bag[at]
      if (!repeat) bag.splice(at, 1)
      if (cut.has(envelope.from) || cut.has(envelope.to)) return
      step(envelope.to, { kind: 'message', from: envelope.from, message: envelope.message })
    },
    deliverAll () {
      while (bag.length > 0) this.deliver(0, false)
    },
    drop: (place: number) => bag.splice(place % Math.max(1, bag.length), 1),
    propose (command: Command) {
      for (const [id, node] of nodes) {
        if (node.status().role === 'leader') step(id, { kind: 'propose', bodies: [{ kind: 'command', command }, { kind: 'command', command: `${command}-second` }] })
      }
    },
    restart (id: NodeId) {
      nodes.set(id, start(id, 0))
    },
    compact (id: NodeId) {
      step(id, { kind: 'compact', index: applied.get(id) ?? 0, state: null })
    },
  }
}

/** Numbers that look random, the same for a seed each time. */
export function randomFrom (seed: number): () => number {
  let state = seed >>> 0
  return () => {
    state = (Math.imul(state, 1664525) + 1013904223) >>> 0
    return state / 2 ** 32
  }
}

/** A cluster whose leader is confirmed. */
export function createLedCluster () {
  const cluster = createCluster(randomFrom(7))
  for (let round = 0; round < 40; round++) {
    cluster.advance(30)
    cluster.deliverAll()
  }
  const [leader] = [...cluster.nodes].find(([, node]) => node.status().role === 'leader') ?? ['none']
  expect(cluster.isConfirmed(leader)).toBe(true)
  return { cluster, leader }
}

/** Those that lead after a time in ms in which all messages arrive. */
export function leadersAfter (cluster: ReturnType<typeof createCluster>, ms: number): readonly NodeId[] {
  for (let passed = 0; passed < ms; passed += 10) {
    cluster.advance(10)
    cluster.deliverAll()
  }
  return [...cluster.nodes].filter(([, node]) => node.status().role === 'leader').map(([id]) => id)
}

/** What a node of tests starts from. */
export const STARTED: PersistedState<Command> = {
  hard: { term: 1, votedFor: null },
  snapshot: { index: 0, term: 0, voters: { voters: IDS, learners: [] }, state: null },
  entries: [],
}

/** A node with entries, and the term of its disk. */
export function nodeWith (entries: ReadonlyArray<LogEntry<Command>>, term: number) {
  const persisted: PersistedState<Command> = {
    hard: { term, votedFor: null },
    snapshot: { index: 0, term: 0, voters: { voters: IDS, learners: [] }, state: null },
    entries,
  }
  return createRaftNode<Command>({ id: IDS[0], persisted, timing: TIMING, random: () => 0, now: 0 })
}

/** Messages among actions to a node. */
export function sentTo (actions: ReadonlyArray<RaftAction<Command>>, to: NodeId): ReadonlyArray<RaftMessage<Command>> {
  return actions.flatMap((action) => action.kind === 'send' && action.to === to ? [action.message] : [])
}
