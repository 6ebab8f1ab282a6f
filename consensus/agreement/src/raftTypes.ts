/** A node's name and the incarnation of its data folder, as `name:incarnation`. A lost folder means a new incarnation. */
export type NodeId = string

/** Who votes, and who only receives the log. */
export interface VoterSet {
  readonly voters: readonly NodeId[]
  readonly learners: readonly NodeId[]
}

/** What an entry carries. */
export type EntryBody<C> =
  | { readonly kind: 'command', readonly command: C }
  | { readonly kind: 'voters', readonly set: VoterSet }

/** One entry of the replicated log. */
export interface LogEntry<C> {
  readonly index: number
  readonly term: number
  readonly body: EntryBody<C>
}

/** The state that replaces all entries up to an index. */
export interface Snapshot {
  readonly index: number
  readonly term: number
  readonly voters: VoterSet
  readonly state: unknown
}

/** What must be on disk before a vote or an answer counts. */
export interface HardState {
  readonly term: number
  readonly votedFor: NodeId | null
}

/** Question whether a process is new: it has neither led nor followed since it started. */
export interface RestartRequest {
  /** Mark of the process that asks. */
  readonly asker: number
  readonly sentAt: number
}

/** What a new process answers; `asker` and `sentAt` are those of the question. */
export interface RestartReply extends RestartRequest {
  /** Mark of the process that answers. */
  readonly process: number
  /** Time since the process started, in ms. */
  readonly upMs: number
}

/** Messages between nodes. `sentAt` is on the sender's clock and comes back in the reply. */
export type RaftMessage<C> =
  | {
    readonly kind: 'voteRequest'
    readonly pre: boolean
    readonly term: number
    readonly lastIndex: number
    readonly lastTerm: number
    /** Set if the leader itself asked for this election. */
    readonly transfer?: boolean
    /** Asks, beside a question before an election, whether the process is new. */
    readonly restart?: RestartRequest
    /** Mark of the process that said that it is new; set if all voters said so. */
    readonly newProcess?: number
  }
  /** The leader's order to a follower to be elected at once; the leader has stopped leading. */
  | { readonly kind: 'timeoutNow', readonly term: number }
  | {
    readonly kind: 'voteReply'
    readonly pre: boolean
    readonly term: number
    readonly granted: boolean
    /** Set if the process is new and would vote for the asker's log. */
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

/** What a node is told. */
export type RaftEvent<C> =
  | { readonly kind: 'tick' }
  | { readonly kind: 'message', readonly from: NodeId, readonly message: RaftMessage<C> }
  | { readonly kind: 'propose', readonly bodies: ReadonlyArray<EntryBody<C>> }
  | { readonly kind: 'compact', readonly index: number, readonly state: unknown }
  /** The clock moved on by more than may have passed: what rests on a time that has passed begins anew. */
  | { readonly kind: 'jumped' }
  /** The node is about to stop: if it leads, it hands its leadership to a follower that has the whole log. */
  | { readonly kind: 'transfer' }

/** What a node wants done, in order: everything persisted must be synced before the sends that follow it. */
export type RaftAction<C> =
  | { readonly kind: 'persistHard', readonly hard: HardState }
  | { readonly kind: 'persistEntries', readonly truncateFrom: number, readonly entries: ReadonlyArray<LogEntry<C>> }
  | { readonly kind: 'persistSnapshot', readonly snapshot: Snapshot, readonly hard: HardState, readonly entries: ReadonlyArray<LogEntry<C>> }
  | { readonly kind: 'send', readonly to: NodeId, readonly message: RaftMessage<C> }
  | { readonly kind: 'apply', readonly entry: LogEntry<C> }
  | { readonly kind: 'restore', readonly snapshot: Snapshot }
  | { readonly kind: 'role', readonly role: NodeRole }

/** The part that a node plays. */
export type NodeRole = 'follower' | 'preCandidate' | 'candidate' | 'leader'

/** What a node resumes from. */
export interface PersistedState<C> {
  readonly hard: HardState
  readonly snapshot: Snapshot
  readonly entries: ReadonlyArray<LogEntry<C>>
}

/** Timing of elections, in ms. */
export interface RaftTiming {
  readonly heartbeatMs: number
  /** Shortest silence of a leader before an election; also how long a confirmation of leadership holds. */
  readonly electionMinMs: number
  readonly electionMaxMs: number
}

/** Options of a node. */
export interface RaftNodeOptions<C> {
  readonly id: NodeId
  readonly persisted: PersistedState<C>
  readonly timing: RaftTiming
  /** Uniform in [0, 1). */
  readonly random: () => number
  readonly now: number
  /** Time before `now` in which this node certainly heard no leader, in ms, as since its process began; absent for none. */
  readonly leaderlessMs?: number
}

/** A node's view of the agreement. */
export interface RaftStatus {
  readonly id: NodeId
  readonly role: NodeRole
  readonly term: number
  readonly leader: NodeId | null
  readonly commit: number
  readonly lastIndex: number
  readonly voters: VoterSet
  /** Voters and learners whose log is known to the leader, with the index that matches. */
  readonly match: Readonly<Record<NodeId, number>>
}
