import { type LogEntry, type Snapshot, type VoterSet } from './raftTypes.js'

/** What a merge did. */
export interface MergeResult<C> {
  /** Index up to which the log now matches the sender's. */
  readonly match: number
  /** Entries that were not there before; those they replace are gone. */
  readonly added: ReadonlyArray<LogEntry<C>>
}

/** The entries after the snapshot, in memory. */
export interface EntryLog<C> {
  readonly snapshot: () => Snapshot
  readonly lastIndex: () => number
  readonly lastTerm: () => number
  /** Term of the entry at an index; undefined if it is compacted or not there. */
  readonly termAt: (index: number) => number | undefined
  readonly slice: (from: number, limit: number) => ReadonlyArray<LogEntry<C>>
  readonly append: (entries: ReadonlyArray<LogEntry<C>>) => void
  /** Stores entries behind a matching one; undefined if the log has no such entry. */
  readonly merge: (prevIndex: number, prevTerm: number, received: ReadonlyArray<LogEntry<C>>) => MergeResult<C> | undefined
  readonly replaceSnapshot: (snapshot: Snapshot) => void
  /** The last set of voters in the log, committed or not. */
  readonly voters: () => VoterSet
  /** Index of the entry that set the voters; 0 if the snapshot did. */
  readonly votersIndex: () => number
  /** The set of voters in force at an index that is not compacted. */
  readonly votersAt: (index: number) => VoterSet
}

/** Creates the log of a node from what it persisted. */
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
    const fresh = received.findIndex(({ index, term }) => termAt(index) !== term)
    const added = fresh < 0 ? [] : received.slice(fresh)
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
      const kept = entries.at(next.index - snapshot.index - 1)
      const matches = next.index > snapshot.index && kept?.index === next.index && kept.term === next.term
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
