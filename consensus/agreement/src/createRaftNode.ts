import { type HolderTime } from '@briarpick/clock'
import {
  type EntryBody,
  type LogEntry,
  type NodeId,
  type NodeRole,
  type RaftAction,
  type RaftEvent,
  type RaftMessage,
  type RaftNodeOptions,
  type RaftStatus,
  type RaftTime,
  type RestartReply,
  type RestartRequest,
} from './raftTypes.js'
import { createEntryLog } from './createEntryLog.js'
import { createProgress, type Progress } from './createProgress.js'
import { createRestartTracker } from './createRestartTracker.js'

/** A Raft node as a pure state machine: it takes events and returns actions, and does no input or output itself. */
export interface RaftNode<C> {
  /** Handles an event and returns the actions to perform, in order. */
  step: (event: RaftEvent<C>, now: RaftTime) => ReadonlyArray<RaftAction<C>>
  status: () => RaftStatus
  /** True if this node leads and a quorum confirmed it within the minimum election timeout, so that no other can have been elected. */
  isConfirmed: (now: HolderTime) => boolean
  /** True if this node leads and the latest change of voters is committed, so that the next one may be proposed. */
  mayChangeVoters: () => boolean
}

/** Maximum number of entries in one append message. */
const MAX_APPEND_ENTRIES = 64
/** Number of process identifiers, so large that two processes of one node practically never draw the same one. */
const PROCESS_ID_RANGE = 2 ** 48

/** Returns the optional fields of a vote request to a peer: why the peer may vote although it may have heard from a leader. */
type VoteRequestExtras = (peer: NodeId) => {
  readonly transfer?: boolean
  readonly restart?: RestartRequest
  readonly newProcess?: number
}

/** Creates a node as a follower. */
export function createRaftNode<C> (opts: RaftNodeOptions<C>): RaftNode<C> {
  const { id, timing } = opts
  const log = createEntryLog(opts.persisted.snapshot, opts.persisted.entries)
  let hardState = opts.persisted.hard
  let role: NodeRole = 'follower'
  let leader: NodeId | null = null
  let commit = log.snapshot().index
  let applied = commit
  /** When this node last promised a leader not to vote for another within the minimum election timeout, on the granter's clock. */
  let leaderHeardAt = opts.now.granter - (opts.leaderlessMs ?? 0)
  /** True while this process is known to have neither followed a leader nor led since it started. */
  let isFreshProcess = opts.leaderlessMs !== undefined
  /** True once this process has granted a vote: that candidate may lead by now, so it is given the time of an ordinary election. */
  let hasGrantedVote = false
  /** Time at which all voters were first known to be fresh processes. */
  let allFreshSince: number | undefined
  let nextHeartbeatAt: number = opts.now.granter
  let votes = new Set<NodeId>()
  let progress: Progress = createProgress([], 0)
  let electedAt: number = opts.now.holder
  let actions: Array<RaftAction<C>> = []

  /** Random identifier of this process. */
  const processId = Math.floor(opts.random() * PROCESS_ID_RANGE)
  const restartTracker = createRestartTracker(processId)

  const voters = () => log.voters().voters
  const isVoter = () => voters().includes(id)
  const voterRank = (voter: NodeId) => voters().indexOf(voter)
  const otherVoters = () => voters().filter((voter) => voter !== id)
  const quorum = () => Math.floor(voters().length / 2) + 1
  const peers = () => [...voters(), ...log.voters().learners].filter((peer) => peer !== id)
  let electionDeadline = opts.now.granter + firstElectionDelay()

  function electionDelay (): number {
    return timing.electionMinMs + opts.random() * (timing.electionMaxMs - timing.electionMinMs)
  }

  /**
   * A node that knows for how long it has heard from no leader starts a pre-vote at once. This disrupts no leader, since nodes
   * that follow one reject the pre-vote.
   */
  function firstElectionDelay (): number {
    return opts.leaderlessMs === undefined ? electionDelay() : 0
  }

  /** A fresh process, which has heard from no leader since it started, retries its pre-vote within a heartbeat interval. */
  function preVoteDelay (): number {
    return isFreshProcess ? timing.heartbeatMs * (1 + opts.random()) / 2 : electionDelay()
  }

  function send (to: NodeId, message: RaftMessage<C>): void {
    actions.push({ kind: 'send', to, message })
  }

  function setHardState (term: number, votedFor: NodeId | null): void {
    if (hardState.term === term && hardState.votedFor === votedFor) return
    hardState = { term, votedFor }
    actions.push({ kind: 'persistHard', hard: hardState })
  }

  function setRole (next: NodeRole): void {
    if (role === next) return
    role = next
    actions.push({ kind: 'role', role })
  }

  function becomeFollower (term: number, newLeader: NodeId | null, now: RaftTime): void {
    if (term > hardState.term) setHardState(term, null)
    setRole('follower')
    leader = newLeader
    if (newLeader !== null) isFreshProcess = false
    electionDeadline = now.granter + electionDelay()
  }

  function startPreVote (now: RaftTime): void {
    setRole('preCandidate')
    leader = null
    electionDeadline = now.granter + preVoteDelay()
    const extras = isFreshProcess ? { restart: restartTracker.createRequest(now.holder) } : {}
    requestVotes({ pre: true, term: hardState.term + 1 }, now, () => extras)
  }

  function startElection (now: RaftTime, extrasFor: VoteRequestExtras = () => ({})): void {
    setRole('candidate')
    setHardState(hardState.term + 1, id)
    electionDeadline = now.granter + electionDelay()
    requestVotes({ pre: false, term: hardState.term }, now, extrasFor)
  }

  /** True if all voters are known to be fresh processes. Candidates are staggered by their rank, so that votes are not split. */
  function mayStartFullRestartElection (now: RaftTime): boolean {
    if (role !== 'preCandidate' || !isFreshProcess || hasGrantedVote || !restartTracker.areAllFresh(otherVoters())) return false
    allFreshSince ??= now.granter
    return now.granter - allFreshSince >= voterRank(id) * timing.heartbeatMs / 2
  }

  /**
   * True if this process is to send its pre-vote at once, so that the first voter in the list learns immediately that the last one
   * has restarted: once for each process behind it in the list, and not while votes are counted.
   */
  function shouldJoinRestart (from: NodeId, request: RestartRequest): boolean {
    const isExpected = isFreshProcess && !hasGrantedVote && role !== 'candidate' && voterRank(id) < voterRank(from)
    return isExpected && restartTracker.isFirstRequest(request)
  }

  /** After a restart of all voters no leader is confirmed any more, so votes need not wait for the minimum election timeout. */
  function startFullRestartElection (now: RaftTime): void {
    startElection(now, (peer) => ({ newProcess: restartTracker.processIdOf(peer) }))
  }

  function requestVotes (request: { readonly pre: boolean, readonly term: number }, now: RaftTime, extrasFor: VoteRequestExtras): void {
    votes = new Set([id])
    const lastEntry = { lastIndex: log.lastIndex(), lastTerm: log.lastTerm() }
    for (const peer of otherVoters()) send(peer, { kind: 'voteRequest', ...request, ...lastEntry, ...extrasFor(peer) })
    countVotes(now)
  }

  function hasRecentLeaderContact (now: RaftTime): boolean {
    return role === 'leader' ? isConfirmed(now.holder) : now.granter - leaderHeardAt < timing.electionMinMs
  }

  function countVotes (now: RaftTime): void {
    if (votes.size < quorum()) return
    // The node's own vote obeys the same rule as those of its peers: the node may have confirmed a leader just before this process started.
    if (role === 'preCandidate' && !hasRecentLeaderContact(now)) startElection(now)
    else if (role === 'candidate') becomeLeader(now)
  }

  function becomeLeader (now: RaftTime): void {
    setRole('leader')
    isFreshProcess = false
    leader = id
    electedAt = now.holder
    progress = createProgress(peers(), log.lastIndex() + 1)
    appendAsLeader([{ kind: 'voters', set: log.voters() }])
    heartbeat(now)
  }

  function appendAsLeader (bodies: ReadonlyArray<EntryBody<C>>): void {
    const first = log.lastIndex() + 1
    const entries = bodies.map((body, i): LogEntry<C> => ({ index: first + i, term: hardState.term, body }))
    log.append(entries)
    actions.push({ kind: 'persistEntries', truncateFrom: first, entries })
    progress.setPeers(peers(), log.lastIndex())
  }

  function heartbeat (now: RaftTime): void {
    nextHeartbeatAt = now.granter + timing.heartbeatMs
    for (const peer of peers()) sendAppend(peer, now)
    advanceCommit(now)
  }

  function sendAppend (peer: NodeId, now: RaftTime): void {
    const next = progress.nextIndex(peer)
    const prevTerm = log.termAt(next - 1)
    if (prevTerm === undefined) {
      send(peer, { kind: 'install', term: hardState.term, snapshot: log.snapshot(), sentAt: now.holder })
      return
    }
    const entries = log.slice(next, MAX_APPEND_ENTRIES)
    if (entries.length > 0) progress.markInFlight(peer)
    send(peer, { kind: 'append', term: hardState.term, prevIndex: next - 1, prevTerm, entries, commit, sentAt: now.holder })
  }

  function advanceCommit (now: RaftTime): void {
    const quorumIndex = progress.quorumMatchIndex(voters(), id, log.lastIndex())
    if (quorumIndex <= commit || log.termAt(quorumIndex) !== hardState.term) return
    commit = quorumIndex
    applyCommitted()
    for (const peer of peers()) sendAppend(peer, now)
    if (!isVoter()) becomeFollower(hardState.term, null, now)
  }

  function applyCommitted (): void {
    while (applied < commit) {
      const [entry] = log.slice(applied + 1, 1)
      applied = entry.index
      actions.push({ kind: 'apply', entry })
    }
  }

  function quorumContactAt (now: HolderTime): number {
    return progress.quorumContactAt(voters(), id, now)
  }

  const messageHandlers: {
    readonly [K in RaftMessage<C>['kind']]: (from: NodeId, message: Extract<RaftMessage<C>, { kind: K }>, now: RaftTime) => void
  } = {
    voteRequest (from, message, now) {
      const recentLeaderContact = hasRecentLeaderContact(now)
      const upToDate = message.lastTerm > log.lastTerm() ||
        (message.lastTerm === log.lastTerm() && message.lastIndex >= log.lastIndex())
      if (message.pre) {
        const granted = !recentLeaderContact && upToDate && message.term > hardState.term
        const restartReply = upToDate && message.term > hardState.term && message.restart !== undefined
          ? restartReplyTo(message.restart, now)
          : {}
        send(from, { kind: 'voteReply', pre: true, term: granted ? message.term : hardState.term, granted, ...restartReply })
        if (message.restart !== undefined && shouldJoinRestart(from, message.restart)) startPreVote(now)
        return
      }
      const isFullRestartVote = message.newProcess === processId && isFreshProcess
      if (recentLeaderContact && message.transfer !== true && !isFullRestartVote) {
        send(from, { kind: 'voteReply', pre: false, term: hardState.term, granted: false })
        return
      }
      if (message.term > hardState.term) becomeFollower(message.term, null, now)
      const granted = message.term === hardState.term && upToDate && (hardState.votedFor === null || hardState.votedFor === from)
      if (granted) {
        hasGrantedVote = true
        setHardState(hardState.term, from)
        electionDeadline = now.granter + electionDelay()
      }
      send(from, { kind: 'voteReply', pre: false, term: hardState.term, granted })
    },
    timeoutNow (from, message, now) {
      if (message.term === hardState.term && from === leader && isVoter()) startElection(now, () => ({ transfer: true }))
    },
    voteReply (from, message, now) {
      if (message.restart !== undefined) restartTracker.recordReply(from, message.restart, now.holder)
      if (!message.granted && message.term > hardState.term) {
        becomeFollower(message.term, null, now)
        return
      }
      const expected = message.pre ? 'preCandidate' : 'candidate'
      const term = message.pre ? hardState.term + 1 : hardState.term
      if (mayStartFullRestartElection(now)) {
        startFullRestartElection(now)
        return
      }
      if (role !== expected || message.term !== term || !message.granted) return
      votes.add(from)
      countVotes(now)
    },
    append (from, message, now) {
      if (message.term < hardState.term) {
        send(from, { kind: 'appendReply', term: hardState.term, ok: false, match: 0, sentAt: message.sentAt })
        return
      }
      becomeFollower(message.term, from, now)
      leaderHeardAt = now.granter
      const merged = log.merge(message.prevIndex, message.prevTerm, message.entries)
      if (merged === undefined) {
        const hint = Math.min(log.lastIndex(), message.prevIndex - 1)
        send(from, { kind: 'appendReply', term: hardState.term, ok: false, match: hint, sentAt: message.sentAt })
        return
      }
      const { match, added } = merged
      if (added.length > 0) actions.push({ kind: 'persistEntries', truncateFrom: added[0].index, entries: added })
      commit = Math.max(commit, Math.min(message.commit, match))
      send(from, { kind: 'appendReply', term: hardState.term, ok: true, match, sentAt: message.sentAt })
      applyCommitted()
    },
    appendReply (from, message, now) {
      if (message.term > hardState.term) {
        becomeFollower(message.term, null, now)
        return
      }
      if (role !== 'leader' || message.term !== hardState.term) return
      // Only a follower whose log matches confirms the leader: a later candidate that gets its vote must then have those entries too.
      progress.recordContact(from, message.ok ? message.sentAt : -Infinity)
      if (message.ok) progress.recordMatch(from, message.match)
      else progress.recordRejection(from, message.match)
      advanceCommit(now)
      if (progress.nextIndex(from) <= log.lastIndex()) sendAppend(from, now)
    },
    install (from, message, now) {
      if (message.term < hardState.term) {
        send(from, { kind: 'appendReply', term: hardState.term, ok: false, match: 0, sentAt: message.sentAt })
        return
      }
      becomeFollower(message.term, from, now)
      leaderHeardAt = now.granter
      if (message.snapshot.index > commit) installSnapshot(message.snapshot)
      send(from, { kind: 'appendReply', term: hardState.term, ok: true, match: message.snapshot.index, sentAt: message.sentAt })
    },
  }

  /** Returns the reply to a restart request; empty if this process is not fresh. */
  function restartReplyTo (request: RestartRequest, now: RaftTime): { readonly restart?: RestartReply } {
    if (!isFreshProcess) return {}
    return { restart: { ...request, process: processId, upMs: now.granter - opts.now.granter + (opts.leaderlessMs ?? 0) } }
  }

  function installSnapshot (snapshot: typeof opts.persisted.snapshot): void {
    log.replaceSnapshot(snapshot)
    commit = snapshot.index
    applied = snapshot.index
    persistLogSnapshot()
    actions.push({ kind: 'restore', snapshot })
  }

  function persistLogSnapshot (): void {
    const entries = log.slice(log.snapshot().index + 1, Infinity)
    actions.push({ kind: 'persistSnapshot', snapshot: log.snapshot(), hard: hardState, entries })
  }

  function isConfirmed (now: HolderTime): boolean {
    return role === 'leader' && now - quorumContactAt(now) < timing.electionMinMs
  }

  const eventHandlers: {
    readonly [K in RaftEvent<C>['kind']]: (event: Extract<RaftEvent<C>, { kind: K }>, now: RaftTime) => void
  } = {
    tick (_event, now) {
      if (role === 'leader') {
        const silentMs = now.holder - Math.max(quorumContactAt(now.holder), electedAt)
        if (silentMs > timing.electionMaxMs) becomeFollower(hardState.term, null, now)
        else if (now.granter >= nextHeartbeatAt) heartbeat(now)
      } else if (now.granter >= electionDeadline && isVoter()) {
        startPreVote(now)
      }
    },
    message (event, now) {
      const handle = messageHandlers[event.message.kind] as (from: NodeId, message: RaftMessage<C>, now: RaftTime) => void
      handle(event.from, event.message, now)
    },
    propose (event, now) {
      if (role !== 'leader') return
      appendAsLeader(event.bodies)
      for (const peer of peers()) {
        if (!progress.isInFlight(peer)) sendAppend(peer, now)
      }
      advanceCommit(now)
    },
    transfer (_event, now) {
      if (role !== 'leader') return
      const transferee = voters().find((voter) => voter !== id && progress.matchIndexes()[voter] === log.lastIndex())
      if (transferee !== undefined) send(transferee, { kind: 'timeoutNow', term: hardState.term })
      becomeFollower(hardState.term, null, now)
    },
    compact (event) {
      const term = log.termAt(event.index)
      if (event.index > applied || event.index <= log.snapshot().index || term === undefined) return
      log.replaceSnapshot({ index: event.index, term, voters: log.votersAt(event.index), state: event.state })
      persistLogSnapshot()
    },
  }

  return {
    step (event, now) {
      actions = []
      const handle = eventHandlers[event.kind] as (event: RaftEvent<C>, now: RaftTime) => void
      handle(event, now)
      return actions
    },
    status: () => ({
      id,
      role,
      term: hardState.term,
      leader,
      commit,
      lastIndex: log.lastIndex(),
      voters: log.voters(),
      match: role === 'leader' ? progress.matchIndexes() : {},
    }),
    isConfirmed,
    mayChangeVoters: () => role === 'leader' && log.votersIndex() <= commit,
  }
}
