import fc from 'fast-check'
import { expect, test } from 'vitest'
import { type NodeId, type VoterSet } from '@briarpick/consensus-agreement'
import { nextVoters, type NodeObservation } from '../src/index.js'

/** Interval at which a leader checks its voters, in ms. */
const STEP_MS = 200
/** Time after the last event in which voters are to be repaired: silence, catching up and some changes, in ms. */
const SETTLE_MS = 6000
/** Time after which a joined node has caught up, in ms. */
const CATCH_UP_MS = 600
/** Time without a leader after which a node requests to join, in ms. */
const REJOIN_MS = 2000

interface Machine {
  name: string
  incarnation: number
  /** The side of the partition on which the machine is. */
  side: 0 | 1
  state: 'up' | 'down' | 'gone'
  /** The latest voter set in the machine's log; empty on a new disk. */
  known: { readonly index: number, readonly set: VoterSet }
  /** Time since which the machine hears from a leader, in ms. */
  inTouchSince: number
  leaderHeardAt: number
  /** True after a loss of the disk or for good, until the voters are repaired. */
  countsAsLost: boolean
}

interface Leadership { readonly id: NodeId, readonly heardAt: Map<NodeId, number> }

const NO_VOTERS = { index: 0, set: { voters: [], learners: [] } }
const majority = ({ voters }: VoterSet) => Math.floor(voters.length / 2) + 1
const idOf = ({ name, incarnation }: Machine): NodeId => `${name}:${incarnation}`

/** A cluster at the level of voter sets: what its leaders decide, and which losses the set in force bears. */
function createHistory (count: number, faultTolerance: number) {
  const borne = Math.min(faultTolerance, Math.floor((count - 1) / 2))
  const desiredVoters = 2 * faultTolerance + 1
  let now = 0
  let changedAt = 0
  let names = 0
  let leaderships: readonly [Leadership | undefined, Leadership | undefined] = [undefined, undefined]
  const newMachine = (): Machine => ({
    name: `m${names++}`, incarnation: 0, side: 0, state: 'up', known: NO_VOTERS, inTouchSince: now, leaderHeardAt: now, countsAsLost: false,
  })
  const machines = Array.from({ length: count }, newMachine)
  const first: VoterSet = { voters: machines.map(idOf), learners: [] }
  for (const machine of machines) machine.known = { index: 1, set: first }
  let leaving: Machine | undefined

  const upOn = (side: number) => machines.filter((machine) => machine.state === 'up' && machine.side === side)
  const latest = (among: readonly Machine[]) => among.reduce<Machine['known']>((best, { known }) => known.index > best.index ? known : best, NO_VOTERS)
  const votersAmong = (among: readonly Machine[], set: VoterSet) => among.filter((machine) => set.voters.includes(idOf(machine)))
  const inForce = () => latest(machines)
  const lostDisks = () => machines.filter(({ countsAsLost }) => countsAsLost).length

  function lead (side: 0 | 1): Leadership | undefined {
    const up = upOn(side)
    const { set } = latest(up)
    const voters = votersAmong(up, set)
    if (voters.length < majority(set) || set.voters.length === 0) return undefined
    const leader = voters.find((voter) => idOf(voter) === leaderships[side]?.id) ?? voters.find(({ known }) => known.set === set)
    if (leader === undefined) return undefined
    const heardAt = leaderships[side]?.id === idOf(leader) ? leaderships[side].heardAt : new Map<NodeId, number>()
    for (const id of [...set.voters, ...set.learners]) if (!heardAt.has(id)) heardAt.set(id, now)
    for (const machine of up) heardAt.set(idOf(machine), now)
    return { id: idOf(leader), heardAt }
  }

  /** Lets the leader of a side change its voters once, as the reconciler does. */
  function reconcile (side: 0 | 1, { id, heardAt }: Leadership): void {
    const up = upOn(side)
    const { index, set } = latest(up)
    const members = [...set.voters, ...set.learners]
    for (const machine of up.filter((each) => members.includes(idOf(each)))) {
      if (now - machine.leaderHeardAt > STEP_MS) machine.inTouchSince = now
      machine.leaderHeardAt = now
    }
    const requesting = up.filter((machine) => !members.includes(idOf(machine)) &&
      (machine.known === NO_VOTERS || now - machine.leaderHeardAt > REJOIN_MS))
    const observe = (node: NodeId): [NodeId, NodeObservation] => {
      const machine = up.find((each) => idOf(each) === node)
      const hasCaughtUp = machine !== undefined && now - machine.inTouchSince > CATCH_UP_MS
      return [node, {
        silentMs: now - (heardAt.get(node) ?? now),
        lagEntries: hasCaughtUp ? 0 : 50,
        hasRequestedJoin: machine !== undefined && requesting.includes(machine),
      }]
    }
    const next = nextVoters(set, new Map([...members, ...requesting.map(idOf)].map(observe)), { desiredVoters, self: id })
    if (next === undefined) return
    expect(votersAmong(up, next).length, 'live voters of a proposed set').toBeGreaterThanOrEqual(majority(next))
    const isMember = (machine: Machine) => next.voters.includes(idOf(machine)) || next.learners.includes(idOf(machine))
    for (const machine of up.filter(isMember)) {
      if (!members.includes(idOf(machine))) machine.inTouchSince = now
      machine.known = { index: index + 1, set: next }
    }
  }

  /** Any further disks up to those borne may be lost right after an acknowledgement: what remains must still elect, and so knows it. */
  function checkDisks (): void {
    const { set } = inForce()
    const intact = votersAmong(machines.filter(({ state }) => state !== 'gone'), set).length
    expect(intact - (borne - lostDisks()), 'voters with a disk after the loss').toBeGreaterThanOrEqual(majority(set))
  }

  /** Once voters are repaired, as many more machines may fail as the deployment bears. */
  function checkService (): void {
    const { set } = inForce()
    const lost = lostDisks() + machines.filter(({ state, side }) => state === 'down' || (state === 'up' && side === 1)).length
    if (lost > borne) return
    const live = votersAmong(upOn(0), set).length
    expect(live - (borne - lost), 'live voters after further losses').toBeGreaterThanOrEqual(majority(set))
  }

  function step (): void {
    now += STEP_MS
    leaderships = [lead(0), lead(1)]
    expect(leaderships.filter((leadership) => leadership !== undefined).length, 'sides that lead').toBeLessThanOrEqual(1)
    leaderships.forEach((leadership, side) => { if (leadership !== undefined) reconcile(side as 0 | 1, leadership) })
    const isSettled = now - changedAt > SETTLE_MS
    for (const machine of machines) machine.countsAsLost &&= !isRepaired(machine, isSettled)
    checkDisks()
    if (isSettled) checkService()
  }

  /** A machine with a new disk has had its time to catch up; one that is gone was missed while all others were in touch. */
  function isRepaired ({ state, leaderHeardAt, inTouchSince }: Machine, isSettled: boolean): boolean {
    if (state !== 'gone') return leaderHeardAt === now && now - inTouchSince > SETTLE_MS
    const present = machines.filter((machine) => machine.state !== 'gone')
    return isSettled && present.length >= count && present.every((machine) => machine.state === 'up' && machine.side === 0)
  }

  const pick = (value: number) => {
    const present = machines.filter(({ state }) => state !== 'gone')
    return present[value % present.length]
  }
  const mayLoseDisk = () => lostDisks() < borne && leaving === undefined
  const events = {
    cut: (value: number) => { pick(value).side = 1 },
    heal: () => { for (const machine of machines) machine.side = 0 },
    stop: (value: number) => { pick(value).state = 'down' },
    start (value: number) {
      const machine = pick(value)
      if (machine.state === 'down') Object.assign(machine, { state: 'up', leaderHeardAt: now, inTouchSince: now })
    },
    wipe (value: number) {
      if (!mayLoseDisk()) return
      const machine = pick(value)
      Object.assign(machine, { state: 'up', known: NO_VOTERS, incarnation: machine.incarnation + 1, leaderHeardAt: now, countsAsLost: true })
    },
    lose (value: number) {
      if (!mayLoseDisk()) return
      Object.assign(pick(value), { state: 'gone', countsAsLost: true })
    },
    /** A machine for one that is lost; else the first half of a planned replacement. */
    add (value: number) {
      if (leaving !== undefined || machines.filter(({ state }) => state !== 'gone').length > count) return
      if (machines.filter(({ state }) => state !== 'gone').length === count) {
        if (now - changedAt <= SETTLE_MS || lostDisks() > 0 || machines.some(({ state, side }) => state === 'down' || side === 1)) return
        leaving = pick(value)
      }
      machines.push(newMachine())
    },
    /** The second half of a planned replacement: the old machine stops for good. Until voters are repaired it counts as lost. */
    finish () {
      if (leaving === undefined || now - changedAt <= SETTLE_MS || lostDisks() > 0) return
      Object.assign(leaving, { state: 'gone', countsAsLost: true })
      leaving = undefined
    },
  }

  return {
    wait (ms: number) { for (let passed = 0; passed < ms; passed += STEP_MS) step() },
    act (kind: keyof typeof events, value: number) {
      events[kind](value)
      changedAt = now
    },
    /** Ends all faults and checks that every machine is a member again and that the voters bear the losses. */
    end () {
      events.heal()
      for (const machine of machines) if (machine.state === 'down') Object.assign(machine, { state: 'up', leaderHeardAt: now, inTouchSince: now })
      changedAt = now
      this.wait(2 * SETTLE_MS)
      const { set } = inForce()
      const members = [...set.voters, ...set.learners]
      for (const machine of upOn(0)) expect(members, 'members').toContain(idOf(machine))
    },
  }
}

type Event = readonly [kind: 'cut' | 'heal' | 'stop' | 'start' | 'wipe' | 'lose' | 'add' | 'finish', machine: number, waitMs: number]

function play (count: number, faultTolerance: number, events: readonly Event[]): void {
  const cluster = createHistory(count, faultTolerance)
  cluster.wait(8000)
  for (const [kind, machine, waitMs] of events) {
    cluster.act(kind, machine)
    cluster.wait(waitMs)
  }
  cluster.end()
}

test('a voter that stops for good after its successor joined leaves the voters, so that after one more loss the others still lead', () => {
  play(3, 2, [['add', 0, 8000], ['finish', 0, 8000], ['cut', 0, 8000]])
})

test('a voter that is cut off stays while one with a new disk catches up, since its own disk is needed if two more are lost', () => {
  play(5, 2, [['cut', 0, 3600], ['wipe', 2, 12_000]])
})

test('a silent voter stays a voter until its successor is one, since a disk may be lost meanwhile', () => {
  play(3, 1, [['add', 0, 8000], ['cut', 0, 8000]])
})

const eventArbitrary: fc.Arbitrary<Event> = fc.tuple(
  fc.constantFrom('cut', 'heal', 'stop', 'start', 'wipe', 'lose', 'add', 'add', 'finish', 'finish'),
  fc.nat(20),
  fc.constantFrom(0, 400, 1000, 3600, 8000, 8000)
)

test('over joins, planned replacements, losses, cuts and returns the voters bear the losses of the deployment, and one side at most leads', () => {
  const deployment = fc.constantFrom([3, 1], [4, 1], [5, 1], [3, 2], [4, 2], [5, 2], [6, 2], [7, 2])
  fc.assert(fc.property(deployment, fc.array(eventArbitrary, { maxLength: 14 }), ([count, faultTolerance], events) => {
    play(count, faultTolerance, events)
  }), { seed: 20_261_205, numRuns: 500, endOnFailure: true })
})
