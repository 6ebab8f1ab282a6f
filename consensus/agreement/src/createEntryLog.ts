import { type LogEntry, type Snapshot, type VoterSet } from './agreementTypes.js'

/** The entries after the snapshot, in memory. */
export interface EntryLog<C> {
  readonly snapshot: () => Snapshot
  readonly lastIndex: () => number
  readonly lastTerm: () => number
  /** Term of the entry at an index; undefined if it is compacted or not there. */
  readonly termAt: (index: number) => number | undefined
  readonly slice: (from: number, limit: number) => ReadonlyArray<LogEntry<C>>
  readonly append: (entries: ReadonlyArray<LogEntry<C>>) => void
  readonly truncateFrom: (index: number) => void
  readonly replaceSnapshot: (snapshot: Snapshot) => void
  /** The last set of voters in the log, committed or not. */
  readonly voters: () => VoterSet
  /** Index of the entry that set the voters; 0 if the snapshot did. */
  readonly votersIndex: () => number
}

/** Creates the log of a node from what it persisted. */
export function createEntryLog<C> (initial: Snapshot, persisted: ReadonlyArray<LogEntry<C>>): EntryLog<C> {
  let snapshot = initial
  let entries = [...persisted]

  let lastVoters = findVoters(entries)

  return {
    snapshot: () => snapshot,
    lastIndex: () => snapshot.index + entries.length,
    lastTerm: () => entries.at(-1)?.term ?? snapshot.term,
    termAt (index) {
      if (index === snapshot.index) return snapshot.term
      return entries[index - snapshot.index - 1]?.term
    },
    slice (from, limit) {
      const start = from - snapshot.index - 1
      return entries.slice(start, start + limit)
    },
    append (added) {
      entries.push(...added)
      lastVoters = findVoters(added) ?? lastVoters
    },
    truncateFrom (index) {
      entries = entries.slice(0, Math.max(0, index - snapshot.index - 1))
      lastVoters = findVoters(entries)
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
  }
}

function findVoters<C> (entries: ReadonlyArray<LogEntry<C>>): { readonly index: number, readonly set: VoterSet } | undefined {
  const entry = entries.findLast(({ body }) => body.kind === 'voters')
  return entry?.body.kind === 'voters' ? { index: entry.index, set: entry.body.set } : undefined
}
