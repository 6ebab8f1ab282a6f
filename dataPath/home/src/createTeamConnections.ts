import { type PooledConnection } from './createStatementTargetPool.js'

/** Open connections of one target, grouped by the team that each serves; null stands for callers without a team. */
export interface TeamConnections {
  add: (connection: PooledConnection) => void
  /** Returns a connection that is open and no longer in use. */
  release: (connection: PooledConnection) => void
  /** Removes a closed connection; true if it was idle. */
  remove: (connection: PooledConnection) => boolean
  /** Takes the team's idle connection for which `isPreferred` holds, or else any; the most recently used one in either case. */
  takeIdle: (team: string | null, isPreferred: (connection: PooledConnection) => boolean) => PooledConnection | undefined
  /** Takes the least recently used idle connection of the other teams. */
  takeLeastRecent: (exceptTeam: string | null) => PooledConnection | undefined
  /** Takes all idle connections. */
  takeAllIdle: () => readonly PooledConnection[]
  /** True if another team has an idle connection. */
  hasIdleOfOthers: (team: string | null) => boolean
  /** Number of idle connections of a team. */
  idle: (team: string | null) => number
  /** Number of open connections of a team. */
  size: (team: string | null) => number
  total: () => number
  all: () => Iterable<PooledConnection>
}

interface Entry {
  /** The least recently used one first. */
  readonly idle: PooledConnection[]
  size: number
}

/** Creates an empty set. */
export function createTeamConnections (): TeamConnections {
  const entries = new Map<string | null, Entry>()
  const connections = new Set<PooledConnection>()
  /** Number of releases so far; orders connections by their last use. */
  let releases = 0
  const releasedAt = new Map<PooledConnection, number>()

  function entryOf (team: string | null): Entry {
    const known = entries.get(team)
    if (known !== undefined) return known
    const entry = { idle: [], size: 0 }
    entries.set(team, entry)
    return entry
  }

  function release (connection: PooledConnection): void {
    releases += 1
    releasedAt.set(connection, releases)
    entryOf(connection.team).idle.push(connection)
  }

  return {
    add (connection) {
      connections.add(connection)
      entryOf(connection.team).size += 1
      release(connection)
    },
    release,
    remove (connection) {
      if (!connections.delete(connection)) return false
      releasedAt.delete(connection)
      const entry = entryOf(connection.team)
      entry.size -= 1
      if (entry.size === 0) entries.delete(connection.team)
      const index = entry.idle.indexOf(connection)
      if (index >= 0) entry.idle.splice(index, 1)
      return index >= 0
    },
    takeIdle (team, isPreferred) {
      const idle = entries.get(team)?.idle
      if (idle === undefined) return undefined
      const index = idle.findLastIndex(isPreferred)
      return index < 0 ? idle.pop() : idle.splice(index, 1)[0]
    },
    takeLeastRecent (exceptTeam) {
      let oldest: Entry | undefined
      const lastUse = ({ idle }: Entry) => releasedAt.get(idle[0]) ?? 0
      for (const [team, entry] of entries) {
        if (team === exceptTeam || entry.idle.length === 0) continue
        if (oldest === undefined || lastUse(entry) < lastUse(oldest)) oldest = entry
      }
      return oldest?.idle.shift()
    },
    takeAllIdle: () => [...entries.values()].flatMap(({ idle }) => idle.splice(0)),
    hasIdleOfOthers (team) {
      for (const [other, { idle }] of entries) if (other !== team && idle.length > 0) return true
      return false
    },
    idle: (team) => entries.get(team)?.idle.length ?? 0,
    size: (team) => entries.get(team)?.size ?? 0,
    total: () => connections.size,
    all: () => [...connections],
  }
}
