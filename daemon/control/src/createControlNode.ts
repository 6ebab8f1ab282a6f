import { type Address, type ControlCommand } from '@briarpick/types'
import { BriarpickError } from '@briarpick/error'
import { elapsedMs } from '@briarpick/clock'
import { type Service } from '@briarpick/kernel'
import { createLogger } from '@briarpick/logs'
import { createRpcClients, type RpcClient } from '@briarpick/rpc'
import {
  type RaftNode,
  type RaftAction,
  type RaftEvent,
  type RaftMessage,
  type RaftStatus,
  type RaftTiming,
  createRaftNode,
  type EntryBody,
  type LogEntry,
  type NodeId,
} from '@briarpick/consensus-agreement'
import { type LogFile } from '@briarpick/consensus-log'
import { applyCommand, type CommandOutcome, type ControlState, stateFromSnapshot } from '@briarpick/consensus-state'

/** Options of a control node. */
export interface ControlNodeOptions {
  readonly id: NodeId
  /** Address of a node by its name; undefined if it is not known. */
  readonly addressOf: (name: string) => Address | undefined
  readonly logFile: LogFile<ControlCommand>
  readonly timing: RaftTiming
  readonly random: () => number
  /** Time in which this node certainly heard no leader before it starts, in ms; absent for none. */
  readonly quietMs?: number
  /** Called when the node can't go on, such as after a failed write. */
  readonly onFatal: (err: unknown) => void
}

/** A node of the control cluster: agreement, its log file and the state that the log makes. */
export interface ControlNode extends Service {
  /** Puts a command through the log; resolves once it is applied here. */
  propose: (command: ControlCommand) => Promise<CommandOutcome>
  proposeVoters: (body: Extract<EntryBody<ControlCommand>, { kind: 'voters' }>) => void
  /** Hands the leadership over, if this node leads. */
  transfer: () => void
  /** Takes a message that came over a connection of the other node. */
  receive: (from: NodeId, message: RaftMessage<ControlCommand>, connection: object) => void
  state: () => ControlState
  /** Index of the last entry applied. */
  appliedIndex: () => number
  status: () => RaftStatus
  mayChangeVoters: () => boolean
  /** True if this node leads, a quorum confirmed it, and it has applied all that earlier leaders committed. */
  isReady: () => boolean
  /** Time since which this node leads; undefined if it doesn't. */
  leaderSince: () => number | undefined
  leaderAddress: () => Address | null
  /** Time since a message of a node, or since this node leads, in ms. */
  silentMs: (node: NodeId) => number
  onApplied: (listener: () => void) => void
}

const TICK_MS = 20
/** Time by which the clocks must part to be noticed, in ms: above their rounding. */
const JUMP_MS = 25
const PROPOSE_TIMEOUT_MS = 3000
const COMPACT_AFTER_RECORDS = 1000
/** Bytes of the log file after which it is compacted, well under the smallest disk in use (64 MB). */
const COMPACT_AFTER_BYTES = 6 * 1024 * 1024
/** Time between two probes of a connection to another node, in ms: a silent one is found within two heartbeats of an election. */
const PROBE_MS = 400
const log = createLogger('control:node')

/** A command that waits for the end of the turn. */
interface Queued {
  readonly command: ControlCommand
  readonly resolve: (outcome: CommandOutcome) => void
  readonly reject: (err: BriarpickError) => void
}

interface Pending {
  readonly term: number
  readonly resolve: (outcome: CommandOutcome) => void
  readonly reject: (err: BriarpickError) => void
}

/** Starts a node from its log file. */
export function createControlNode (opts: ControlNodeOptions): ControlNode {
  const agreement: RaftNode<ControlCommand> = createRaftNode({
    id: opts.id, persisted: opts.logFile.persisted, timing: opts.timing, random: opts.random, now: elapsedMs(), leaderlessMs: opts.quietMs,
  })
  const clients = createRpcClients({ probeMs: PROBE_MS })
  const connections = new Map<NodeId, object>()
  const pending = new Map<number, Pending>()
  const queued: Queued[] = []
  const heardAt = new Map<NodeId, number>()
  const listeners: Array<() => void> = []
  let state = stateFromSnapshot(opts.logFile.persisted.snapshot.state)
  let appliedIndex = opts.logFile.persisted.snapshot.index
  let appliedTerm = opts.logFile.persisted.snapshot.term
  let leaderSince: number | undefined
  let uncountedMs = elapsedMs() - performance.now()
  let closed = false
  const timer = setInterval(() => step({ kind: 'tick' }), TICK_MS)

  type Performer<K extends RaftAction<ControlCommand>['kind']> = (action: Extract<RaftAction<ControlCommand>, { kind: K }>) => void
  const performers: { readonly [K in RaftAction<ControlCommand>['kind']]: Performer<K> } = {
    persistHard: ({ hard }) => opts.logFile.writeHard(hard),
    persistEntries: ({ truncateFrom, entries }) => opts.logFile.writeEntries(truncateFrom, entries),
    persistSnapshot: ({ snapshot, hard, entries }) => opts.logFile.writeSnapshot(snapshot, hard, entries),
    send: ({ to, message }) => clientOf(to)?.notify('agreement.message', { from: opts.id, to, message }),
    apply: ({ entry }) => apply(entry),
    restore ({ snapshot }) {
      state = stateFromSnapshot(snapshot.state)
      appliedIndex = snapshot.index
      appliedTerm = snapshot.term
    },
    role ({ role }) {
      leaderSince = role === 'leader' ? elapsedMs() : undefined
      if (role !== 'leader') rejectPending()
      log('role', { role, term: agreement.status().term })
    },
  }

  /** Time that only the time of day counted: a suspension, which has passed, or a step, which has not. */
  function noticeJump (): void {
    const jumpedMs = elapsedMs() - performance.now() - uncountedMs
    if (jumpedMs < JUMP_MS) return
    uncountedMs += jumpedMs
    log('clockJumped', { ms: Math.round(jumpedMs) })
    agreement.step({ kind: 'jumped' }, elapsedMs())
  }

  function step (event: RaftEvent<ControlCommand>): void {
    if (closed) return
    noticeJump()
    try {
      for (const action of agreement.step(event, elapsedMs())) {
        const act = performers[action.kind] as (action: RaftAction<ControlCommand>) => void
        act(action)
      }
    } catch (err) {
      closed = true
      opts.onFatal(err)
    }
  }

  function clientOf (node: NodeId): RpcClient | undefined {
    const [name] = node.split(':')
    const address = opts.addressOf(name)
    return address === undefined ? undefined : clients.of(address)
  }

  /** A node that has just connected is there: an attempt to reach it that began while it was dark would only time out. */
  function noteConnection (from: NodeId, connection: object): void {
    if (connections.get(from) === connection) return
    connections.set(from, connection)
    clientOf(from)?.retryConnect()
  }

  function apply (entry: LogEntry<ControlCommand>): void {
    const outcome = applyBody(entry)
    appliedIndex = entry.index
    appliedTerm = entry.term
    const waiting = pending.get(entry.index)
    pending.delete(entry.index)
    if (waiting?.term === entry.term) waiting.resolve(outcome)
    else waiting?.reject(notLeader(leaderAddress()))
    if (opts.logFile.recordsSinceSnapshot() > COMPACT_AFTER_RECORDS || opts.logFile.bytesSinceSnapshot() > COMPACT_AFTER_BYTES) {
      setImmediate(() => step({ kind: 'compact', index: appliedIndex, state }))
    }
    for (const listener of listeners) listener()
  }

  function applyBody (entry: LogEntry<ControlCommand>): CommandOutcome {
    if (entry.body.kind === 'voters') return { kind: 'unchanged' }
    const result = applyCommand(state, entry.body.command, entry.index)
    state = result.state
    return result.outcome
  }

  /** Puts all commands of one turn of the event loop into the log with one sync. */
  function flushQueued (): void {
    const { role, term, lastIndex } = agreement.status()
    const commands = queued.splice(0)
    if (role !== 'leader') {
      for (const { reject } of commands) reject(notLeader(leaderAddress()))
      return
    }
    commands.forEach(({ resolve, reject }, i) => pending.set(lastIndex + 1 + i, { term, resolve, reject }))
    step({ kind: 'propose', bodies: commands.map(({ command }) => ({ kind: 'command', command })) })
  }

  function rejectPending (): void {
    for (const waiting of pending.values()) waiting.reject(notLeader(null))
    pending.clear()
  }

  function leaderAddress (): Address | null {
    const { leader } = agreement.status()
    return leader === null ? null : opts.addressOf(leader.split(':')[0]) ?? null
  }

  return {
    propose (command) {
      return new Promise((resolve, reject) => {
        if (agreement.status().role !== 'leader') {
          reject(notLeader(leaderAddress()))
          return
        }
        const timeout = setTimeout(() => reject(tooSlow()), PROPOSE_TIMEOUT_MS)
        const settle = <T>(done: (value: T) => void) => (value: T) => {
          clearTimeout(timeout)
          done(value)
        }
        queued.push({ command, resolve: settle(resolve), reject: settle(reject) })
        if (queued.length === 1) setImmediate(flushQueued)
      })
    },
    proposeVoters: (body) => step({ kind: 'propose', bodies: [body] }),
    transfer: () => step({ kind: 'transfer' }),
    receive (from, message, connection) {
      heardAt.set(from, elapsedMs())
      noteConnection(from, connection)
      step({ kind: 'message', from, message })
    },
    silentMs: (id) => elapsedMs() - Math.max(heardAt.get(id) ?? -Infinity, leaderSince ?? -Infinity),
    state: () => state,
    appliedIndex: () => appliedIndex,
    status: () => agreement.status(),
    mayChangeVoters: () => agreement.mayChangeVoters(),
    isReady: () => agreement.isConfirmed(elapsedMs()) && appliedTerm === agreement.status().term,
    leaderSince: () => leaderSince,
    leaderAddress,
    onApplied: (listener) => { listeners.push(listener) },
    async close () {
      closed = true
      clearInterval(timer)
      rejectPending()
      clients.close()
      opts.logFile.close()
    },
  }
}

/** The refusal of a node that does not lead. */
export function notLeader (leader: Address | null): BriarpickError {
  const hint = leader === null ? 'try again shortly, or another control node' : `ask the leader at ${leader.host}:${leader.port}`
  return new BriarpickError('ERR_BRIARPICK_NOT_LEADER', 'this control node does not lead', { hint })
}

function tooSlow (): BriarpickError {
  return new BriarpickError('ERR_BRIARPICK_RPC_TIMEOUT', 'no quorum stored the command in time', {
    hint: 'send the same command again: it is accepted at most once',
  })
}
