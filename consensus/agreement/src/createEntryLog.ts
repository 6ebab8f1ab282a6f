import { type LogEntry, type Snapshot, type VoterSet } from './raftTypes.js'

/** Result of a merge. */
export interface MergeResult<C> {
  /** Index up to which the log now matches the leader's. */
  readonly match: number
  /** Entries that are new; they replace all entries from the index of the first one on. */
  readonly added: ReadonlyArray<LogEntry<C>>
}

/** The log of a node in memory: a snapshot and the entries after it. */
export interface EntryLog<C> {
  readonly snapshot: () => Snapshot
  readonly lastIndex: () => number
  readonly lastTerm: () => number
  /** Returns the term of the entry at an index; undefined if it is compacted or beyond the end. */
  readonly termAt: (index: number) => number | undefined
  /** Returns up to `limit` entries from an index that is not compacted. */
  readonly slice: (from: number, limit: number) => ReadonlyArray<LogEntry<C>>
  readonly append: (entries: ReadonlyArray<LogEntry<C>>) => void
  /** Stores entries after the one at `prevIndex`; undefined if the log has no entry there with `prevTerm`. */
  readonly merge: (prevIndex: number, prevTerm: number, received: ReadonlyArray<LogEntry<C>>) => MergeResult<C> | undefined
  /** Sets the snapshot. Keeps the entries after it if the log has an entry of the same index and term, otherwise drops all entries. */
  readonly replaceSnapshot: (snapshot: Snapshot) => void
  /** Returns the latest members in the log, committed or not, as Raft requires. */
  readonly voters: () => VoterSet
  /** Returns the index of the entry that set these members; 0 if the snapshot did. */
  readonly votersIndex: () => number
  /** Returns the members in force at an index that is not compacted. */
  readonly votersAt: (index: number) => VoterSet
}

/** Creates the log of a node from its persisted snapshot and entries. */
export function createEntryLog<C> (initial: Snapshot, persisted: ReadonlyArray<LogEntry<C>>): EntryLog<C> {
  let snapshot = initial
  let entries = [...persisted]

  let lastVoters = findVoters(entries)

  const termAt = (index: number) => index === snapshot.index ? snapshot.term : entries[index - snapshot.index - 1]?.term

  function merge (prevIndex: number, prevTerm: number, received: ReadonlyArray<LogEntry<C>>): MergeResult<C> | undefined {
    const compacted = snapshot.index - prevIndex
    if (compacted > received.length) return { match: prevIndex + received.length, added: [] }
    if (compacted > 0) return merge(snapshot.index, snapshot.term, received.slice(compacted))
    if (termAt(prevIndex) !== prevTerm) return undefined
    const firstNew = received.findIndex(({ index, term }) => termAt(index) !== term)
    const added = firstNew < 0 ? [] : received.slice(firstNew)
    if (added.length > 0) {
      entries = [...entries.slice(0, added[0].index - snapshot.index - 1), ...added]
      lastVoters = findVoters(entries)
    }
    return { match: prevIndex + received.length, added }
  }

  return {
    snapshot: () => snapshot,
    lastIndex: () => snapshot.index + entries.length,
    lastTerm: () => entries.at(-1)?.term ?? snapshot.term,
    termAt,
    merge,
    slice (from, limit) {
      const start = from - snapshot.index - 1
      return entries.slice(start, start + limit)
    },
    append (added) {
      entries.push(...added)
      lastVoters = findVoters(added) ?? lastVoters
    },
    replaceSnapshot (next) {
      const existing = entries.at(next.index - snapshot.index - 1)
      const matches = next.index > snapshot.index && existing?.index === next.index && existing.term === next.term
      entries = matches ? entries.slice(next.index - snapshot.index) : []
      snapshot = next
      lastVoters = findVoters(entries)
    },
    voters: () => lastVoters?.set ?? snapshot.voters,
    votersIndex: () => lastVoters?.index ?? 0,
    votersAt: (index) => findVoters(entries.filter((entry) => entry.index <= index))?.set ?? snapshot.voters,
  }
}

function findVoters<C> (entries: ReadonlyArray<LogEntry<C>>): { readonly index: number, readonly set: VoterSet } | undefined {
  const entry = entries.findLast(({ body }) => body.kind === 'voters')
  return entry?.body.kind === 'voters' ? { index: entry.index, set: entry.body.set } : undefined
}
