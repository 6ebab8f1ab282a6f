import {
  type RaftAction,
  type RaftEvent,
  type RaftMessage,
  type RaftNodeOptions,
  type RaftStatus,
  type EntryBody,
  type LogEntry,
  type NodeId,
  type NodeRole,
  type RestartReply,
  type RestartRequest,
} from './raftTypes.js'
import { createEntryLog } from './createEntryLog.js'
import { createProgress, type Progress } from './createProgress.js'
import { createRestartTracker } from './createRestartTracker.js'

/** One node of the agreement: events in, actions out; it does no input or output itself. */
export interface RaftNode<C> {
  /** Handles an event at a time on the node's monotonic clock, in ms. */
  step: (event: RaftEvent<C>, now: number) => ReadonlyArray<RaftAction<C>>
  status: () => RaftStatus
  /** True if a quorum confirmed this leader so recently that no other can have been elected since. */
  isConfirmed: (now: number) => boolean
  /** True if the voters' entry in force is committed, so that the next change may be proposed. */
  mayChangeVoters: () => boolean
}

/** Most entries in one append message. */
const MAX_BATCH_ENTRIES = 64
/** Number of marks of processes, so many that two processes of one node never have the same. */
const PROCESS_MARKS = 2 ** 48

/** What a request for a vote rests on, beside the log. */
type MandateFor = (peer: NodeId) => {
  readonly transfer?: boolean
  readonly restart?: RestartRequest
  readonly newProcess?: number
}

/** Creates a node in the follower's role. */
export function createRaftNode<C> (opts: RaftNodeOptions<C>): RaftNode<C> {
  const { id, timing } = opts
  const log = createEntryLog(opts.persisted.snapshot, opts.persisted.entries)
  let hard = opts.persisted.hard
  let role: NodeRole = 'follower'
  let leader: NodeId | null = null
  let commit = log.snapshot().index
  let applied = commit
  let leaderHeardAt = opts.now - (opts.leaderlessMs ?? 0)
  /** True while this process is known to have neither followed nor led. */
  let isNew = opts.leaderlessMs !== undefined
  /** When all voters were known to be new. */
  let allNewSince: number | undefined
  let heartbeatDue = opts.now
  let votes = new Set<NodeId>()
  let progress: Progress = createProgress([], 0)
  let leaderSince = opts.now
  let out: Array<RaftAction<C>> = []

  /** Mark of this process. */
  const process = Math.floor(opts.random() * PROCESS_MARKS)
  const restart = createRestartTracker(process)

  const voters = () => log.voters().voters
  const isVoter = () => voters().includes(id)
  const placeOf = (voter: NodeId) => voters().indexOf(voter)
  const otherVoters = () => voters().filter((voter) => voter !== id)
  const quorum = () => Math.floor(voters().length / 2) + 1
  const peers = () => [...voters(), ...log.voters().learners].filter((peer) => peer !== id)
  let electionDue = opts.now + firstElectionDelay()

  function electionDelay (): number {
    return timing.electionMinMs + opts.random() * (timing.electionMaxMs - timing.electionMinMs)
  }

  /** A question before an election harms nobody: a node that was away asks at once, since those that follow a leader refuse. */
  function firstElectionDelay (): number {
    return opts.leaderlessMs === undefined ? electionDelay() : 0
  }

  /** A node that has heard no leader since its start asks again soon. */
  function preVoteDelay (): number {
    return isNew ? timing.heartbeatMs * (1 + opts.random()) / 2 : electionDelay()
  }

  function send (to: NodeId, message: RaftMessage<C>): void {
    out.push({ kind: 'send', to, message })
  }

  function setHard (term: number, votedFor: NodeId | null): void {
    if (hard.term === term && hard.votedFor === votedFor) return
    hard = { term, votedFor }
    out.push({ kind: 'persistHard', hard })
  }

  function setRole (next: NodeRole): void {
    if (role === next) return
    role = next
    out.push({ kind: 'role', role })
  }

  function becomeFollower (term: number, heardFrom: NodeId | null, now: number): void {
    if (term > hard.term) setHard(term, null)
    setRole('follower')
    leader = heardFrom
    if (heardFrom !== null) isNew = false
    electionDue = now + electionDelay()
  }

  function startPreVote (now: number): void {
    setRole('preCandidate')
    leader = null
    electionDue = now + preVoteDelay()
    const question = isNew ? { restart: restart.ask(now) } : {}
    requestVotes({ pre: true, term: hard.term + 1 }, now, () => question)
  }

  function startElection (now: number, mandateFor: MandateFor = () => ({})): void {
    setRole('candidate')
    setHard(hard.term + 1, id)
    electionDue = now + electionDelay()
    requestVotes({ pre: false, term: hard.term }, now, mandateFor)
  }

  /** True if all voters are known to be new. Their place decides who goes first, so that votes are not split. */
  function mayStartElectionOfNew (now: number): boolean {
    if (role !== 'preCandidate' || !isNew || !restart.isComplete(otherVoters())) return false
    allNewSince ??= now
    return now - allNewSince >= placeOf(id) * timing.heartbeatMs / 2
  }

  /** After a restart of all voters, nobody needs to wait for a leader that was forgotten. */
  function startElectionOfNew (now: number): void {
    startElection(now, (peer) => ({ newProcess: restart.processOf(peer) }))
  }

  function requestVotes (what: { readonly pre: boolean, readonly term: number }, now: number, mandateFor: MandateFor): void {
    votes = new Set([id])
    const place = { lastIndex: log.lastIndex(), lastTerm: log.lastTerm() }
    for (const peer of otherVoters()) send(peer, { kind: 'voteRequest', ...what, ...place, ...mandateFor(peer) })
    countVotes(now)
  }

  function hasHeardLately (now: number): boolean {
    return role === 'leader' ? isConfirmed(now) : now - leaderHeardAt < timing.electionMinMs
  }

  function countVotes (now: number): void {
    if (votes.size < quorum()) return
    // Its own vote is owed like any other: a new process may have confirmed a leader just before it started.
    if (role === 'preCandidate' && !hasHeardLately(now)) startElection(now)
    else if (role === 'candidate') becomeLeader(now)
  }

  function becomeLeader (now: number): void {
    setRole('leader')
    isNew = false
    leader = id
    leaderSince = now
    progress = createProgress(peers(), log.lastIndex() + 1)
    appendOwn([{ kind: 'voters', set: log.voters() }])
    heartbeat(now)
  }

  function appendOwn (bodies: ReadonlyArray<EntryBody<C>>): void {
    const first = log.lastIndex() + 1
    const entries = bodies.map((body, i): LogEntry<C> => ({ index: first + i, term: hard.term, body }))
    log.append(entries)
    out.push({ kind: 'persistEntries', truncateFrom: first, entries })
    progress.keepOnly(peers(), log.lastIndex())
  }

  function heartbeat (now: number): void {
    heartbeatDue = now + timing.heartbeatMs
    for (const peer of peers()) sendAppend(peer, now)
    advanceCommit(now)
  }

  function sendAppend (peer: NodeId, now: number): void {
    const next = progress.next(peer)
    const prevTerm = log.termAt(next - 1)
    if (prevTerm === undefined) {
      send(peer, { kind: 'install', term: hard.term, snapshot: log.snapshot(), sentAt: now })
      return
    }
    const entries = log.slice(next, MAX_BATCH_ENTRIES)
    if (entries.length > 0) progress.await(peer)
    send(peer, { kind: 'append', term: hard.term, prevIndex: next - 1, prevTerm, entries, commit, sentAt: now })
  }

  function advanceCommit (now: number): void {
    const candidate = progress.quorumMatch(voters(), id, log.lastIndex())
    if (candidate <= commit || log.termAt(candidate) !== hard.term) return
    commit = candidate
    applyCommitted()
    for (const peer of peers()) sendAppend(peer, now)
    if (!isVoter()) becomeFollower(hard.term, null, now)
  }

  function applyCommitted (): void {
    while (applied < commit) {
      const [entry] = log.slice(applied + 1, 1)
      applied = entry.index
      out.push({ kind: 'apply', entry })
    }
  }

  function confirmedAt (now: number): number {
    return progress.quorumConfirmed(voters(), id, now)
  }

  const messageHandlers: {
    readonly [K in RaftMessage<C>['kind']]: (from: NodeId, message: Extract<RaftMessage<C>, { kind: K }>, now: number) => void
  } = {
    voteRequest (from, message, now) {
      const heardLately = hasHeardLately(now)
      const upToDate = message.lastTerm > log.lastTerm() ||
        (message.lastTerm === log.lastTerm() && message.lastIndex >= log.lastIndex())
      if (message.pre) {
        const granted = !heardLately && upToDate && message.term > hard.term
        const answer = upToDate && message.term > hard.term && message.restart !== undefined ? answerOfNew(message.restart, now) : {}
        send(from, { kind: 'voteReply', pre: true, term: granted ? message.term : hard.term, granted, ...answer })
        // The first in place asks right after whoever came last.
        if (message.restart !== undefined && isNew && placeOf(id) < placeOf(from)) electionDue = now
        return
      }
      const isOfNew = message.newProcess === process && isNew
      if (heardLately && message.transfer !== true && !isOfNew) {
        send(from, { kind: 'voteReply', pre: false, term: hard.term, granted: false })
        return
      }
      if (message.term > hard.term) becomeFollower(message.term, null, now)
      const granted = message.term === hard.term && upToDate && (hard.votedFor === null || hard.votedFor === from)
      if (granted) {
        setHard(hard.term, from)
        electionDue = now + electionDelay()
      }
      send(from, { kind: 'voteReply', pre: false, term: hard.term, granted })
    },
    timeoutNow (from, message, now) {
      if (message.term === hard.term && from === leader && isVoter()) startElection(now, () => ({ transfer: true }))
    },
    voteReply (from, message, now) {
      if (message.restart !== undefined) restart.note(from, message.restart, now)
      if (!message.granted && message.term > hard.term) {
        becomeFollower(message.term, null, now)
        return
      }
      const expected = message.pre ? 'preCandidate' : 'candidate'
      const term = message.pre ? hard.term + 1 : hard.term
      if (mayStartElectionOfNew(now)) {
        startElectionOfNew(now)
        return
      }
      if (role !== expected || message.term !== term || !message.granted) return
      votes.add(from)
      countVotes(now)
    },
    append (from, message, now) {
      if (message.term < hard.term) {
        send(from, { kind: 'appendReply', term: hard.term, ok: false, match: 0, sentAt: message.sentAt })
        return
      }
      becomeFollower(message.term, from, now)
      leaderHeardAt = now
      const merged = log.merge(message.prevIndex, message.prevTerm, message.entries)
      if (merged === undefined) {
        const hint = Math.min(log.lastIndex(), message.prevIndex - 1)
        send(from, { kind: 'appendReply', term: hard.term, ok: false, match: hint, sentAt: message.sentAt })
        return
      }
      const { match, added } = merged
      if (added.length > 0) out.push({ kind: 'persistEntries', truncateFrom: added[0].index, entries: added })
      commit = Math.max(commit, Math.min(message.commit, match))
      send(from, { kind: 'appendReply', term: hard.term, ok: true, match, sentAt: message.sentAt })
      applyCommitted()
    },
    appendReply (from, message, now) {
      if (message.term > hard.term) {
        becomeFollower(message.term, null, now)
        return
      }
      if (role !== 'leader' || message.term !== hard.term) return
      // Only a follower with this leader's entries confirms it: a later candidate that gets its vote must then hold them too.
      progress.confirm(from, message.ok ? message.sentAt : -Infinity)
      if (message.ok) progress.matched(from, message.match)
      else progress.rejected(from, message.match)
      advanceCommit(now)
      if (progress.next(from) <= log.lastIndex()) sendAppend(from, now)
    },
    install (from, message, now) {
      if (message.term < hard.term) {
        send(from, { kind: 'appendReply', term: hard.term, ok: false, match: 0, sentAt: message.sentAt })
        return
      }
      becomeFollower(message.term, from, now)
      leaderHeardAt = now
      if (message.snapshot.index > commit) installSnapshot(message.snapshot)
      send(from, { kind: 'appendReply', term: hard.term, ok: true, match: message.snapshot.index, sentAt: message.sentAt })
    },
  }

  function answerOfNew (question: RestartRequest, now: number): { readonly restart?: RestartReply } {
    if (!isNew) return {}
    return { restart: { ...question, process, upMs: now - opts.now + (opts.leaderlessMs ?? 0) } }
  }

  function installSnapshot (snapshot: typeof opts.persisted.snapshot): void {
    log.replaceSnapshot(snapshot)
    commit = snapshot.index
    applied = snapshot.index
    persistWhole()
    out.push({ kind: 'restore', snapshot })
  }

  function persistWhole (): void {
    const entries = log.slice(log.snapshot().index + 1, Infinity)
    out.push({ kind: 'persistSnapshot', snapshot: log.snapshot(), hard, entries })
  }

  function isConfirmed (now: number): boolean {
    return role === 'leader' && now - confirmedAt(now) < timing.electionMinMs
  }

  const eventHandlers: {
    readonly [K in RaftEvent<C>['kind']]: (event: Extract<RaftEvent<C>, { kind: K }>, now: number) => void
  } = {
    tick (_event, now) {
      if (role === 'leader') {
        if (now - Math.max(confirmedAt(now), leaderSince) > timing.electionMaxMs) becomeFollower(hard.term, null, now)
        else if (now >= heartbeatDue) heartbeat(now)
      } else if (now >= electionDue && isVoter()) {
        startPreVote(now)
      }
    },
    message (event, now) {
      const handle = messageHandlers[event.message.kind] as (from: NodeId, message: RaftMessage<C>, now: number) => void
      handle(event.from, event.message, now)
    },
    propose (event, now) {
      if (role !== 'leader') return
      appendOwn(event.bodies)
      for (const peer of peers()) {
        if (!progress.isAwaited(peer)) sendAppend(peer, now)
      }
      advanceCommit(now)
    },
    transfer (_event, now) {
      if (role !== 'leader') return
      const heir = voters().find((voter) => voter !== id && progress.matches()[voter] === log.lastIndex())
      if (heir !== undefined) send(heir, { kind: 'timeoutNow', term: hard.term })
      becomeFollower(hard.term, null, now)
    },
    jumped (_event, now) {
      leaderHeardAt = now
      isNew = false
      electionDue = Math.max(electionDue, now + electionDelay())
    },
    compact (event) {
      const term = log.termAt(event.index)
      if (event.index > applied || event.index <= log.snapshot().index || term === undefined) return
      log.replaceSnapshot({ index: event.index, term, voters: log.votersAt(event.index), state: event.state })
      persistWhole()
    },
  }

  return {
    step (event, now) {
      out = []
      const handle = eventHandlers[event.kind] as (event: RaftEvent<C>, now: number) => void
      handle(event, now)
      return out
    },
    status: () => ({
      id,
      role,
      term: hard.term,
      leader,
      commit,
      lastIndex: log.lastIndex(),
      voters: log.voters(),
      match: role === 'leader' ? progress.matches() : {},
    }),
    isConfirmed,
    mayChangeVoters: () => role === 'leader' && log.votersIndex() <= commit,
  }
}
