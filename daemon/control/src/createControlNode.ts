import { type Address, type ControlCommand } from '@briarpick/types'
import { BriarpickError } from '@briarpick/error'
import { granterMs, type GranterTime, holderMs } from '@briarpick/clock'
import { type Service } from '@briarpick/kernel'
import { createLogger } from '@briarpick/logs'
import { createRpcClients, type RpcClient } from '@briarpick/rpc'
import {
  createRaftNode,
  type EntryBody,
  type LogEntry,
  type NodeId,
  type PersistedState,
  type RaftAction,
  type RaftEvent,
  type RaftMessage,
  type RaftNode,
  type RaftStatus,
  type RaftTime,
  type RaftTiming,
} from '@briarpick/consensus-agreement'
import { type LogFile } from '@briarpick/consensus-log'
import { applyCommand, type CommandOutcome, type ControlState, stateFromSnapshot } from '@briarpick/consensus-state'
import { nodeName } from './nextVoters.js'

/** Options of a control node. */
export interface ControlNodeOptions {
  readonly id: NodeId
  /** Returns the address of a node by its name; undefined if it is unknown. */
  readonly addressOf: (name: string) => Address | undefined
  readonly logFile: LogFile<ControlCommand>
  readonly timing: RaftTiming
  readonly random: () => number
  /** Time before the start in which this node cannot have heard from a leader, in ms; absent if unknown. */
  readonly leaderlessMs?: number
  /** Called on an error after which the node can't continue; a failed write is none, see `isStorageWritable`. */
  readonly onFatal: (err: unknown) => void
}

/** A node of the control cluster: the consensus instance, its log file and the replicated state. */
export interface ControlNode extends Service {
  /**
   * Appends a command to the log; resolves once it is applied on this node. Rejects with ERR_BRIARPICK_NOT_LEADER, or with
   * ERR_BRIARPICK_RPC_TIMEOUT if it isn't applied in time.
   */
  propose: (command: ControlCommand) => Promise<CommandOutcome>
  /** Handles what is due now instead of at the next tick; to be called once other nodes can reach this one. */
  onReachable: () => void
  /** Appends a new voter set to the log. */
  proposeVoters: (body: Extract<EntryBody<ControlCommand>, { kind: 'voters' }>) => void
  /** Starts a leadership transfer if this node is the leader. */
  transfer: () => void
  /** Handles a consensus message that arrived on a connection opened by another node. */
  receive: (from: NodeId, message: RaftMessage<ControlCommand>, connection: object) => void
  state: () => ControlState
  /** Index of the last entry applied. */
  appliedIndex: () => number
  status: () => RaftStatus
  /** False from a failed write until the log file can be written again; meanwhile the node takes no part in consensus. */
  isStorageWritable: () => boolean
  mayChangeVoters: () => boolean
  /** True if this node leads, a quorum has confirmed its leadership, and it has applied all entries that earlier leaders committed. */
  isReady: () => boolean
  /** Time at which this node became leader; undefined if it is not the leader. */
  leaderSince: () => GranterTime | undefined
  /** Address of the known leader, which may be this node; null if none is known. */
  leaderAddress: () => Address | null
  /** Time since the last message from a node, but at most since this node became leader, in ms. */
  silentMs: (node: NodeId) => number
  /** Adds a listener that is called after each applied entry. */
  onApplied: (listener: () => void) => void
}

const TICK_INTERVAL_MS = 20
/** Smallest divergence of wall clock and monotonic clock that counts as a clock jump, in ms; above their rounding. */
const CLOCK_JUMP_MS = 25
const PROPOSE_TIMEOUT_MS = 3000
const COMPACT_AFTER_RECORDS = 1000
/** Growth of the log file that triggers compaction, in bytes; well below the smallest disk in use (64 MB). */
const COMPACT_AFTER_BYTES = 6 * 1024 * 1024
/** Interval of connection probes, in ms; an unresponsive connection is detected within two heartbeat intervals of an election. */
const PROBE_INTERVAL_MS = 400
/** Interval of attempts to write the log file again after a failed write, in ms; each one writes the whole file. */
const STORAGE_RETRY_MS = 500
const log = createLogger('control:node')

/** A command to be proposed at the end of the current event loop turn. */
interface QueuedProposal {
  readonly command: ControlCommand
  readonly resolve: (outcome: CommandOutcome) => void
  readonly reject: (err: BriarpickError) => void
}

/** A command in the log that is not applied yet. */
interface PendingProposal {
  readonly term: number
  readonly resolve: (outcome: CommandOutcome) => void
  readonly reject: (err: BriarpickError) => void
}

/** A node that takes no part in consensus since its log file could not be written. */
interface Suspension {
  readonly since: number
  /** Status before the failed write, without role and leader. */
  readonly status: RaftStatus
  retryAt: number
}

/** Starts a control node from its log file. */
export function createControlNode (opts: ControlNodeOptions): ControlNode {
  const startRaftNode = (persisted: PersistedState<ControlCommand>, leaderlessMs?: number): RaftNode<ControlCommand> =>
    createRaftNode({ id: opts.id, persisted, timing: opts.timing, random: opts.random, now: raftTime(), leaderlessMs })
  let raftNode = startRaftNode(opts.logFile.persisted, opts.leaderlessMs)
  let suspension: Suspension | undefined
  const clients = createRpcClients({ probeIntervalMs: PROBE_INTERVAL_MS })
  const connections = new Map<NodeId, object>()
  const pendingProposals = new Map<number, PendingProposal>()
  const queuedProposals: QueuedProposal[] = []
  const lastMessageAt = new Map<NodeId, number>()
  const listeners: Array<() => void> = []
  let state = stateFromSnapshot(opts.logFile.persisted.snapshot.state)
  let appliedIndex = opts.logFile.persisted.snapshot.index
  let appliedTerm = opts.logFile.persisted.snapshot.term
  let leaderSince: GranterTime | undefined
  let clockOffsetMs = holderMs() - granterMs()
  let closed = false
  const timer = setInterval(tick, TICK_INTERVAL_MS)

  type ActionHandler<K extends RaftAction<ControlCommand>['kind']> =
    (action: Extract<RaftAction<ControlCommand>, { kind: K }>) => void
  const actionHandlers: { readonly [K in RaftAction<ControlCommand>['kind']]: ActionHandler<K> } = {
    persistHard: ({ hard }) => opts.logFile.writeHard(hard),
    persistEntries: ({ truncateFrom, entries }) => opts.logFile.writeEntries(truncateFrom, entries),
    persistSnapshot: ({ snapshot, hard, entries }) => opts.logFile.writeSnapshot(snapshot, hard, entries),
    send: ({ to, message }) => clientOf(to)?.notify('agreement.message', { from: opts.id, to, message }),
    // After a resumption, entries that were applied before are committed again.
    apply: ({ entry }) => { if (entry.index > appliedIndex) apply(entry) },
    restore ({ snapshot }) {
      if (snapshot.index <= appliedIndex) return
      state = stateFromSnapshot(snapshot.state)
      appliedIndex = snapshot.index
      appliedTerm = snapshot.term
    },
    role ({ role }) {
      leaderSince = role === 'leader' ? granterMs() : undefined
      if (role !== 'leader') rejectPendingProposals(notLeaderError(null))
      log('roleChanged', { role, term: raftNode.status().term })
    },
  }

  /**
   * Reports that the wall clock moved further than the monotonic clock. Either the VM was suspended, and the time did pass, or
   * the wall clock was stepped forward, and it did not.
   */
  function reportClockJump (): void {
    const jumpedMs = holderMs() - granterMs() - clockOffsetMs
    if (jumpedMs < CLOCK_JUMP_MS) return
    clockOffsetMs += jumpedMs
    log('clockJumped', { ms: Math.round(jumpedMs) })
  }

  function tick (): void {
    if (suspension === undefined) step({ kind: 'tick' })
    else if (!closed && granterMs() >= suspension.retryAt) resume(suspension)
  }

  function step (event: RaftEvent<ControlCommand>): void {
    if (closed || suspension !== undefined) return
    reportClockJump()
    try {
      for (const action of raftNode.step(event, raftTime())) {
        const handle = actionHandlers[action.kind] as (action: RaftAction<ControlCommand>) => void
        handle(action)
      }
    } catch (err) {
      if (isDiskError(err)) suspend(err)
      else fail(err)
    }
  }

  function fail (err: unknown): void {
    closed = true
    opts.onFatal(err)
  }

  /**
   * Stops consensus after a failed write. What the node would have sent or applied after it is dropped, so for the other nodes
   * it is as if the process had ended; requests that need no write are still served.
   */
  function suspend (err: BriarpickError): void {
    const status = raftNode.status()
    const since = granterMs()
    suspension = { since, status: { ...status, role: 'follower', leader: null, match: {} }, retryAt: since + STORAGE_RETRY_MS }
    leaderSince = undefined
    rejectPendingProposals(proposalTimeoutError())
    if (status.role === 'leader') requestElection(status)
    log('storageFailed', { role: status.role, term: status.term, reason: err.message })
  }

  /** Lets the voter with the longest log start an election at once, since this node no longer leads. */
  function requestElection ({ term, voters, match }: RaftStatus): void {
    const [successor] = voters.voters.filter((voter) => voter !== opts.id).sort((a, b) => (match[b] ?? 0) - (match[a] ?? 0))
    if (successor !== undefined) actionHandlers.send({ kind: 'send', to: successor, message: { kind: 'timeoutNow', term } })
  }

  /** Starts consensus again from the log file, as after a restart of the process; grants no vote for the minimum election timeout. */
  function resume (suspended: Suspension): void {
    try {
      raftNode = startRaftNode(opts.logFile.recover())
    } catch (err) {
      if (isDiskError(err)) suspended.retryAt = granterMs() + STORAGE_RETRY_MS
      else fail(err)
      return
    }
    suspension = undefined
    log('storageRecovered', { afterMs: Math.round(granterMs() - suspended.since), lastIndex: raftNode.status().lastIndex })
  }

  function currentStatus (): RaftStatus {
    return suspension?.status ?? raftNode.status()
  }

  function clientOf (node: NodeId): RpcClient | undefined {
    const address = opts.addressOf(nodeName(node))
    return address === undefined ? undefined : clients.get(address)
  }

  /**
   * Restarts a pending connect attempt to a node that opened a new connection: the node is reachable again, whereas an attempt
   * begun while it was unreachable would only time out.
   */
  function trackConnection (from: NodeId, connection: object): void {
    if (connections.get(from) === connection) return
    connections.set(from, connection)
    clientOf(from)?.abortConnect()
  }

  function apply (entry: LogEntry<ControlCommand>): void {
    const outcome = applyBody(entry)
    appliedIndex = entry.index
    appliedTerm = entry.term
    const proposal = pendingProposals.get(entry.index)
    pendingProposals.delete(entry.index)
    if (proposal?.term === entry.term) proposal.resolve(outcome)
    else proposal?.reject(notLeaderError(leaderAddress()))
    if (opts.logFile.recordsSinceSnapshot() > COMPACT_AFTER_RECORDS || opts.logFile.bytesSinceSnapshot() > COMPACT_AFTER_BYTES) {
      setImmediate(() => step({ kind: 'compact', index: appliedIndex, state }))
    }
    for (const listener of listeners) listener()
  }

  function applyBody (entry: LogEntry<ControlCommand>): CommandOutcome {
    if (entry.body.kind === 'voters') {
      const { voters, learners } = entry.body.set
      log('votersCommitted', { index: entry.index, term: entry.term, voters: voters.join(), learners: learners.join() })
      return { kind: 'unchanged' }
    }
    try {
      const result = applyCommand(state, entry.body.command, entry.index)
      state = result.state
      return result.outcome
    } catch (err) {
      // The function is pure, so every node ignores the same entries. Without this, such an entry would end each node at each start.
      log('commandIgnored', { index: entry.index, kind: entry.body.command.kind, reason: String(err) })
      return { kind: 'unchanged' }
    }
  }

  /** Appends all commands of one event loop turn to the log with a single sync. */
  function proposeQueued (): void {
    const { role, term, lastIndex } = currentStatus()
    const commands = queuedProposals.splice(0)
    if (role !== 'leader') {
      for (const { reject } of commands) reject(notLeaderError(leaderAddress()))
      return
    }
    commands.forEach(({ resolve, reject }, i) => pendingProposals.set(lastIndex + 1 + i, { term, resolve, reject }))
    step({ kind: 'propose', bodies: commands.map(({ command }) => ({ kind: 'command', command })) })
  }

  function rejectPendingProposals (err: BriarpickError): void {
    for (const proposal of pendingProposals.values()) proposal.reject(err)
    pendingProposals.clear()
  }

  function leaderAddress (): Address | null {
    const { leader } = currentStatus()
    return leader === null ? null : opts.addressOf(nodeName(leader)) ?? null
  }

  return {
    propose (command) {
      return new Promise((resolve, reject) => {
        if (currentStatus().role !== 'leader') {
          reject(notLeaderError(leaderAddress()))
          return
        }
        const timeout = setTimeout(() => reject(proposalTimeoutError()), PROPOSE_TIMEOUT_MS)
        const settle = <T>(done: (value: T) => void) => (value: T) => {
          clearTimeout(timeout)
          done(value)
        }
        queuedProposals.push({ command, resolve: settle(resolve), reject: settle(reject) })
        if (queuedProposals.length === 1) setImmediate(proposeQueued)
      })
    },
    onReachable: tick,
    proposeVoters: (body) => step({ kind: 'propose', bodies: [body] }),
    transfer: () => step({ kind: 'transfer' }),
    receive (from, message, connection) {
      lastMessageAt.set(from, granterMs())
      trackConnection(from, connection)
      step({ kind: 'message', from, message })
    },
    silentMs: (id) => granterMs() - Math.max(lastMessageAt.get(id) ?? -Infinity, leaderSince ?? -Infinity),
    state: () => state,
    appliedIndex: () => appliedIndex,
    status: currentStatus,
    isStorageWritable: () => suspension === undefined,
    mayChangeVoters: () => suspension === undefined && raftNode.mayChangeVoters(),
    isReady: () => suspension === undefined && raftNode.isConfirmed(holderMs()) && appliedTerm === raftNode.status().term,
    leaderSince: () => leaderSince,
    leaderAddress,
    onApplied: (listener) => { listeners.push(listener) },
    async close () {
      closed = true
      clearInterval(timer)
      rejectPendingProposals(notLeaderError(null))
      clients.close()
      opts.logFile.close()
    },
  }
}

/** Error for a request that only the leader can serve. */
export function notLeaderError (leader: Address | null): BriarpickError {
  const hint = leader === null ? 'retry shortly, or use another control node' : `send the request to the leader at ${leader.host}:${leader.port}`
  return new BriarpickError('ERR_BRIARPICK_NOT_LEADER', 'this control node is not the leader', { hint })
}

function isDiskError (err: unknown): err is BriarpickError {
  return err instanceof BriarpickError && err.code === 'ERR_BRIARPICK_DISK'
}

function proposalTimeoutError (): BriarpickError {
  return new BriarpickError('ERR_BRIARPICK_RPC_TIMEOUT', 'no quorum stored the command before the timeout', {
    hint: 'send the same command again; it is accepted at most once',
  })
}

function raftTime (): RaftTime {
  return { holder: holderMs(), granter: granterMs() }
}
