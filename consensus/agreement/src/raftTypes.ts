import { type GranterTime, type HolderTime } from '@briarpick/clock'

/** A node's name and the incarnation of its data folder, as `name:incarnation`. A node that lost its folder gets a new incarnation. */
export type NodeId = string

/** The members of the cluster: voters, and learners, which receive the log without a vote. */
export interface VoterSet {
  readonly voters: readonly NodeId[]
  readonly learners: readonly NodeId[]
}

/** Content of a log entry: a command, or a change of members. */
export type EntryBody<C> =
  | { readonly kind: 'command', readonly command: C }
  | { readonly kind: 'voters', readonly set: VoterSet }

/** One entry of the replicated log. */
export interface LogEntry<C> {
  readonly index: number
  readonly term: number
  readonly body: EntryBody<C>
}

/** The applied state that replaces all entries up to and including `index`. */
export interface Snapshot {
  readonly index: number
  readonly term: number
  readonly voters: VoterSet
  readonly state: unknown
}

/** The term and vote, which must be on disk before a vote or reply is sent. */
export interface HardState {
  readonly term: number
  readonly votedFor: NodeId | null
}

/** Asks whether the receiving process is fresh, that is, has neither led nor followed a leader since it started. */
export interface RestartRequest {
  /** Random identifier of the process that asks. */
  readonly asker: number
  /** Time on the asking node's clock, in ms. */
  readonly sentAt: number
}

/** The reply of a fresh process; `asker` and `sentAt` are those of the request. */
export interface RestartReply extends RestartRequest {
  /** Random identifier of the process that replies. */
  readonly process: number
  /** Time since the process started, in ms. */
  readonly upMs: number
}

/** Messages between nodes. `sentAt` is in ms on the clock of the leader that sends the request; the reply returns it. */
export type RaftMessage<C> =
  | {
    readonly kind: 'voteRequest'
    readonly pre: boolean
    readonly term: number
    readonly lastIndex: number
    readonly lastTerm: number
    /** Set if the leader started this election by a leadership transfer. */
    readonly transfer?: boolean
    /** Sent with a pre-vote: asks whether the receiving process is fresh. */
    readonly restart?: RestartRequest
    /** Identifier of the receiving process, as in its reply; set if all voters replied that they are fresh. */
    readonly newProcess?: number
  }
  /** Leadership transfer: the follower starts an election at once. The sender has stepped down. */
  | { readonly kind: 'timeoutNow', readonly term: number }
  | {
    readonly kind: 'voteReply'
    readonly pre: boolean
    readonly term: number
    readonly granted: boolean
    /** Set if the process is fresh and could vote for the sender by its log and term. */
    readonly restart?: RestartReply
  }
  | {
    readonly kind: 'append'
    readonly term: number
    readonly prevIndex: number
    readonly prevTerm: number
    readonly entries: ReadonlyArray<LogEntry<C>>
    readonly commit: number
    readonly sentAt: number
  }
  | { readonly kind: 'appendReply', readonly term: number, readonly ok: boolean, readonly match: number, readonly sentAt: number }
  | { readonly kind: 'install', readonly term: number, readonly snapshot: Snapshot, readonly sentAt: number }

/** The two clocks of a node at one moment. */
export interface RaftTime {
  /** Judges what the node relies on as a leader: that a quorum follows it. */
  readonly holder: HolderTime
  /** Judges what the node has promised as a follower: that it votes for no other leader. Timers follow it too. */
  readonly granter: GranterTime
}

/** Input of a node. */
export type RaftEvent<C> =
  | { readonly kind: 'tick' }
  | { readonly kind: 'message', readonly from: NodeId, readonly message: RaftMessage<C> }
  | { readonly kind: 'propose', readonly bodies: ReadonlyArray<EntryBody<C>> }
  | { readonly kind: 'compact', readonly index: number, readonly state: unknown }
  /** The node is about to stop: a leader transfers leadership to a voter that has its whole log. */
  | { readonly kind: 'transfer' }

/** Output of a node, to be performed in order: everything persisted must be synced to disk before the sends that follow it. */
export type RaftAction<C> =
  | { readonly kind: 'persistHard', readonly hard: HardState }
  | { readonly kind: 'persistEntries', readonly truncateFrom: number, readonly entries: ReadonlyArray<LogEntry<C>> }
  | { readonly kind: 'persistSnapshot', readonly snapshot: Snapshot, readonly hard: HardState, readonly entries: ReadonlyArray<LogEntry<C>> }
  | { readonly kind: 'send', readonly to: NodeId, readonly message: RaftMessage<C> }
  | { readonly kind: 'apply', readonly entry: LogEntry<C> }
  | { readonly kind: 'restore', readonly snapshot: Snapshot }
  | { readonly kind: 'role', readonly role: NodeRole }

/** The Raft role of a node. */
export type NodeRole = 'follower' | 'preCandidate' | 'candidate' | 'leader'

/** The state that a node restarts from. */
export interface PersistedState<C> {
  readonly hard: HardState
  readonly snapshot: Snapshot
  readonly entries: ReadonlyArray<LogEntry<C>>
}

/** Heartbeat interval and range of election timeouts, in ms. */
export interface RaftTiming {
  readonly heartbeatMs: number
  /** Minimum election timeout; also how long a quorum's confirmation of a leader is valid. */
  readonly electionMinMs: number
  readonly electionMaxMs: number
}

/** Options of a node. */
export interface RaftNodeOptions<C> {
  readonly id: NodeId
  readonly persisted: PersistedState<C>
  readonly timing: RaftTiming
  /** Returns a number uniform in [0, 1). */
  readonly random: () => number
  readonly now: RaftTime
  /** Time up to `now` in which this node certainly heard from no leader, such as since its process started, in ms; absent if unknown. */
  readonly leaderlessMs?: number
}

/** Status of a node. */
export interface RaftStatus {
  readonly id: NodeId
  readonly role: NodeRole
  readonly term: number
  readonly leader: NodeId | null
  readonly commit: number
  readonly lastIndex: number
  readonly voters: VoterSet
  /** On the leader: the index up to which the log of each peer is known to match; otherwise empty. */
  readonly match: Readonly<Record<NodeId, number>>
}
