import { expect, test } from 'vitest'
import { createRaftNode } from '../src/createRaftNode.js'
import { type Command, createCluster, createLedCluster, IDS, leadersAfter, nodeWith, sentTo, STARTED, TIMING } from './cluster.js'

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
  const node = createRaftNode<Command>({ id: IDS[0], persisted: STARTED, timing: TIMING, random: () => 0, now: 0, leaderlessMs: 0 })
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
  const start = () => createRaftNode<Command>({
    id: IDS[0],
    persisted: STARTED,
    timing: TIMING,
    random: Math.random,
    now: 0,
    leaderlessMs: 0,
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

test('a node that has just started gives no vote until a leader it forgot may be replaced', () => {
  const node = nodeWith([], 1)
  const request = { kind: 'voteRequest', pre: false, term: 2, lastIndex: 9, lastTerm: 1 } as const
  const early = node.step({ kind: 'message', from: IDS[2], message: request }, TIMING.electionMinMs - 1)
  expect(sentTo(early, IDS[2])).toEqual([{ kind: 'voteReply', pre: false, term: 1, granted: false }])
})
