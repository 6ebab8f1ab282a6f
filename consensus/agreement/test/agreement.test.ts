import fc from 'fast-check'
import { expect, test } from 'vitest'
import { createAgreement } from '../src/createAgreement.js'
import { type AgreementAction, type AgreementMessage, type AgreementTiming, type LogEntry, type NodeId, type PersistedState } from '../src/agreementTypes.js'

type Command = string

interface Envelope {
  readonly from: NodeId
  readonly to: NodeId
  readonly message: AgreementMessage<Command>
}

const TIMING: AgreementTiming = { heartbeatMs: 50, electionMinMs: 300, electionMaxMs: 600 }
const IDS = ['a:first', 'b:first', 'c:first'] as const

/** Nodes that exchange messages through a bag, from which a schedule takes, drops and repeats them. */
function createCluster (random: () => number) {
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
    return createAgreement<Command>({ id, persisted, timing: TIMING, random, now, quietMs })
  }
  const nodes = new Map(IDS.map((id) => [id as NodeId, start(id)]))

  function perform (id: NodeId, action: AgreementAction<Command>): void {
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

function randomFrom (seed: number): () => number {
  let state = seed >>> 0
  return () => {
    state = (Math.imul(state, 1664525) + 1013904223) >>> 0
    return state / 2 ** 32
  }
}

const moveArbitrary = fc.oneof(
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('advance' as const), value: fc.integer({ min: 1, max: 120 }) }) },
  { weight: 16, arbitrary: fc.record({ kind: fc.constant('deliver' as const), value: fc.nat(200) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('repeat' as const), value: fc.nat(200) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('drop' as const), value: fc.nat(200) }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('propose' as const), value: fc.nat(1000) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('restart' as const), value: fc.nat(2) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('restartAll' as const), value: fc.nat(2) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('cut' as const), value: fc.nat(2) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('heal' as const), value: fc.nat(2) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('compact' as const), value: fc.nat(2) }) }
)

test('no schedule of losses, repeats, cuts and restarts breaks the agreement', () => {
  fc.assert(fc.property(fc.array(moveArbitrary, { minLength: 200, maxLength: 900 }), fc.integer(), (moves, seed) => {
    const cluster = createCluster(randomFrom(seed))
    const handlers = {
      advance: (value: number) => cluster.advance(value),
      deliver: (value: number) => cluster.deliver(value, false),
      repeat: (value: number) => cluster.deliver(value, true),
      drop: (value: number) => cluster.drop(value),
      propose: (value: number) => cluster.propose(`c${value}`),
      restart: (value: number) => cluster.restart(IDS[value]),
      restartAll: () => IDS.forEach(cluster.restart),
      cut: (value: number) => cluster.cut.add(IDS[value]),
      heal: (value: number) => cluster.cut.delete(IDS[value]),
      compact: (value: number) => cluster.compact(IDS[value]),
    }
    for (const { kind, value } of moves) handlers[kind](value)
    const chosenBefore = Math.max(0, ...cluster.chosen.keys())
    cluster.cut.clear()
    for (let round = 0; round < 100; round++) {
      cluster.advance(30)
      cluster.deliverAll()
    }
    cluster.propose('last')
    for (let round = 0; round < 20; round++) {
      cluster.advance(30)
      cluster.deliverAll()
    }
    for (const id of IDS) expect(cluster.applied.get(id), `what ${id} applied`).toBeGreaterThan(chosenBefore)
  }), { seed: 20_261_203, numRuns: 150, endOnFailure: true })
})

test('after a restart of all, a leader is elected as soon as votes may be given, whoever is back last', () => {
  for (const lastBackMs of [0, 20, 60]) {
    const cluster = createCluster(() => 0.5)
    const [first, ...others] = IDS
    for (const id of others) cluster.restart(id)
    cluster.cut.add(first)
    cluster.advance(lastBackMs)
    cluster.cut.delete(first)
    cluster.restart(first)
    for (let passed = 0; passed < TIMING.electionMinMs + 2 * TIMING.heartbeatMs; passed += 10) {
      cluster.advance(10)
      cluster.deliverAll()
    }
    expect([...cluster.nodes.values()].filter((node) => node.status().role === 'leader')).toHaveLength(1)
  }
})

/** A cluster whose leader is confirmed. */
function createLedCluster () {
  const cluster = createCluster(randomFrom(7))
  for (let round = 0; round < 40; round++) {
    cluster.advance(30)
    cluster.deliverAll()
  }
  const [leader] = [...cluster.nodes].find(([, node]) => node.status().role === 'leader') ?? ['none']
  expect(cluster.isConfirmed(leader)).toBe(true)
  return { cluster, leader }
}

function leadersAfter (cluster: ReturnType<typeof createCluster>, ms: number): readonly NodeId[] {
  for (let passed = 0; passed < ms; passed += 10) {
    cluster.advance(10)
    cluster.deliverAll()
  }
  return [...cluster.nodes].filter(([, node]) => node.status().role === 'leader').map(([id]) => id)
}

test('after a restart of all voters, one leads at once: none of them can be a leader that others forgot', () => {
  const { cluster } = createLedCluster()
  for (const id of IDS) cluster.restart(id)
  expect(leadersAfter(cluster, 2 * TIMING.heartbeatMs)).toHaveLength(1)
})

test('while one voter has not answered, new processes wait: it may be the leader that they forgot', () => {
  const { cluster, leader } = createLedCluster()
  for (const id of IDS) if (id !== leader) cluster.restart(id)
  cluster.cut.add(leader)
  expect(leadersAfter(cluster, TIMING.electionMinMs - 10)).toEqual([leader])
  const [next, ...others] = leadersAfter(cluster, TIMING.electionMaxMs)
  expect(others).toEqual([])
  expect(next).not.toBe(leader)
})

test('a process that has just started does not elect itself before its node may vote, though others would', () => {
  const node = createAgreement<Command>({ id: IDS[0], persisted: STARTED, timing: TIMING, random: () => 0, now: 0, quietMs: 0 })
  const granted = { kind: 'voteReply', pre: true, term: 2, granted: true } as const
  const votesAskedAt = (at: number) => {
    node.step({ kind: 'tick' }, at)
    const actions = node.step({ kind: 'message', from: IDS[1], message: granted }, at)
    return sentTo(actions, IDS[1]).filter((message) => message.kind === 'voteRequest' && !message.pre)
  }
  expect(votesAskedAt(10)).toEqual([])
  expect(votesAskedAt(TIMING.electionMinMs - 1)).toEqual([])
  expect(votesAskedAt(TIMING.electionMinMs + TIMING.heartbeatMs)).toHaveLength(1)
})

test('a process that started after its node answered gives no early vote in its name', () => {
  const start = () => createAgreement<Command>({
    id: IDS[0],
    persisted: STARTED,
    timing: TIMING,
    random: Math.random,
    now: 0,
    quietMs: 0,
  })
  const question = { kind: 'voteRequest', pre: true, term: 2, lastIndex: 9, lastTerm: 1, restart: { asker: 5, sentAt: 3 } } as const
  const vote = { kind: 'voteRequest', pre: false, term: 2, lastIndex: 9, lastTerm: 1 } as const
  const before = start()
  const [reply] = sentTo(before.step({ kind: 'message', from: IDS[2], message: question }, 10), IDS[2])
  expect(reply).toMatchObject({ granted: false, restart: { asker: 5, sentAt: 3, upMs: 10 } })
  const newProcess = reply.kind === 'voteReply' ? reply.restart?.process : undefined
  const after = start()
  const late = after.step({ kind: 'message', from: IDS[2], message: { ...vote, newProcess } }, 20)
  expect(sentTo(late, IDS[2])).toMatchObject([{ granted: false }])
  const early = before.step({ kind: 'message', from: IDS[2], message: { ...vote, newProcess } }, 20)
  expect(sentTo(early, IDS[2])).toMatchObject([{ granted: true }])
})

test('a leader that hears from no quorum stops counting as confirmed', () => {
  let turn = 0
  const cluster = createCluster(() => (turn++ % 7) / 7)
  for (let round = 0; round < 40; round++) {
    cluster.advance(30)
    cluster.deliverAll()
  }
  const [leader] = [...cluster.nodes].find(([, node]) => node.status().role === 'leader') ?? ['none']
  expect(cluster.isConfirmed(leader)).toBe(true)
  cluster.cut.add(leader)
  cluster.advance(TIMING.electionMinMs)
  cluster.deliverAll()
  expect(cluster.isConfirmed(leader)).toBe(false)
})

const STARTED: PersistedState<Command> = {
  hard: { term: 1, votedFor: null },
  snapshot: { index: 0, term: 0, voters: { voters: IDS, learners: [] }, state: null },
  entries: [],
}

function nodeWith (entries: ReadonlyArray<LogEntry<Command>>, term: number) {
  const persisted: PersistedState<Command> = {
    hard: { term, votedFor: null },
    snapshot: { index: 0, term: 0, voters: { voters: IDS, learners: [] }, state: null },
    entries,
  }
  return createAgreement<Command>({ id: IDS[0], persisted, timing: TIMING, random: () => 0, now: 0 })
}

function sentTo (actions: ReadonlyArray<AgreementAction<Command>>, to: NodeId): ReadonlyArray<AgreementMessage<Command>> {
  return actions.flatMap((action) => action.kind === 'send' && action.to === to ? [action.message] : [])
}

test('a node that heard from a leader lately gives no vote, so that a confirmed leader stays the only one', () => {
  const node = nodeWith([], 1)
  const heartbeat = { kind: 'append', term: 1, prevIndex: 0, prevTerm: 0, entries: [], commit: 0, sentAt: 0 } as const
  node.step({ kind: 'message', from: IDS[1], message: heartbeat }, 1000)
  const request = { kind: 'voteRequest', pre: false, term: 2, lastIndex: 9, lastTerm: 1 } as const
  const early = node.step({ kind: 'message', from: IDS[2], message: request }, 1000 + TIMING.electionMinMs - 1)
  expect(sentTo(early, IDS[2])).toEqual([{ kind: 'voteReply', pre: false, term: 1, granted: false }])
  const late = node.step({ kind: 'message', from: IDS[2], message: request }, 1000 + TIMING.electionMinMs)
  expect(sentTo(late, IDS[2])).toEqual([{ kind: 'voteReply', pre: false, term: 2, granted: true }])
})

test('a jump of its clock makes a node forget neither the leader that it heard nor that time has to pass', () => {
  const node = nodeWith([], 1)
  const heartbeat = { kind: 'append', term: 1, prevIndex: 0, prevTerm: 0, entries: [], commit: 0, sentAt: 0 } as const
  node.step({ kind: 'message', from: IDS[1], message: heartbeat }, 1000)
  const jumpedTo = 1000 + 10 * TIMING.electionMaxMs
  node.step({ kind: 'jumped' }, jumpedTo)
  expect(node.step({ kind: 'tick' }, jumpedTo + 1)).toEqual([])
  const request = { kind: 'voteRequest', pre: false, term: 2, lastIndex: 9, lastTerm: 1 } as const
  const early = node.step({ kind: 'message', from: IDS[2], message: request }, jumpedTo + TIMING.electionMinMs - 1)
  expect(sentTo(early, IDS[2])).toMatchObject([{ granted: false }])
})

test('a node that has just started gives no vote until a leader it forgot may be replaced', () => {
  const node = nodeWith([], 1)
  const request = { kind: 'voteRequest', pre: false, term: 2, lastIndex: 9, lastTerm: 1 } as const
  const early = node.step({ kind: 'message', from: IDS[2], message: request }, TIMING.electionMinMs - 1)
  expect(sentTo(early, IDS[2])).toEqual([{ kind: 'voteReply', pre: false, term: 1, granted: false }])
})

test('a leader does not count an entry of an earlier term as chosen by itself', () => {
  const node = nodeWith([{ index: 1, term: 1, body: { kind: 'command', command: 'old' } }], 1)
  node.step({ kind: 'tick' }, TIMING.electionMaxMs)
  node.step({ kind: 'message', from: IDS[1], message: { kind: 'voteReply', pre: true, term: 2, granted: true } }, 700)
  node.step({ kind: 'message', from: IDS[1], message: { kind: 'voteReply', pre: false, term: 2, granted: true } }, 700)
  expect(node.status().role).toBe('leader')
  const reply = { kind: 'appendReply', term: 2, ok: true, sentAt: 700 } as const
  const afterOld = node.step({ kind: 'message', from: IDS[1], message: { ...reply, match: 1 } }, 710)
  expect(afterOld.filter(({ kind }) => kind === 'apply')).toHaveLength(0)
  const afterOwn = node.step({ kind: 'message', from: IDS[1], message: { ...reply, match: 2 } }, 720)
  expect(afterOwn.filter(({ kind }) => kind === 'apply')).toHaveLength(2)
})
