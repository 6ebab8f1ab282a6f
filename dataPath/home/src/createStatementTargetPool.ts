import { type Address, type SessionValue } from '@briarpick/types'
import { createPreparedStatements, type PreparedStatements } from './createPreparedStatements.js'
import { createTeamConnections } from './createTeamConnections.js'
import { type ConnectFailure, type TargetDriver, type TargetLink } from './targetDriver.js'

/** Pooled connection and the session state that statements have left on it. */
export interface PooledConnection {
  /** Unique among the connections of this process; names the connection in logs. */
  readonly number: number
  readonly instance: string
  readonly link: TargetLink
  /** Team that it serves; null for callers without a team. */
  readonly team: string | null
  /** Session values that are set. */
  values: ReadonlyMap<string, string>
  readonly prepared: PreparedStatements
}

/** Options of a target's pool. */
export interface StatementTargetPoolOptions {
  readonly address: Address
  readonly database: string
  readonly instance: string
  readonly driver: TargetDriver
  readonly slots: number
  readonly maxConnections: () => number
  /** True if callers belong to teams: connections are then opened by `open`, and none in advance. */
  readonly hasTeams: () => boolean
  /** Called when a slot or a connection becomes free. */
  readonly onAvailable: () => void
  /** Called when a connection was opened for a team, or closed for one of another team. */
  readonly onTeamConnection: (event: 'opened' | 'replaced') => void
  /** Called when a connection attempt fails or an idle connection closes. */
  readonly onConnectionFailure: () => void
}

/** Connection pool of one target. Slots limit the statements that run at once; a connection may be held without a slot. */
export interface StatementTargetPool {
  /**
   * Acquires a slot, or one of the extra places in flight, and an idle connection of a team, preferably one with these session
   * values; undefined if either is missing.
   */
  acquire: (team: string | null, values: readonly SessionValue[]) => PooledConnection | undefined
  /** True if fewer connections are being opened than may be at once. */
  hasOpeningRoom: () => boolean
  /** True if `open` would start to open a connection. */
  canOpen: (team: string | null) => boolean
  /**
   * Opens a connection for a team. At the limit, the least recently used idle connection of another team is closed first. A team has
   * at most as many connections as the target runs statements at once.
   */
  open: (team: string | null) => void
  /** Number of connections that are being opened for a team. */
  opening: (team: string | null) => number
  /** Acquires a slot for a connection that is already held; false if none is free. */
  acquireSlot: () => boolean
  releaseSlot: () => void
  /** Returns a connection to the pool; its slot is released separately. */
  release: (connection: PooledConnection) => void
  /** True if a slot and a connection of the team are free; extra places in flight don't count. */
  isFree: (team: string | null) => boolean
  /** True if a slot is free, whatever connections are idle. */
  hasFreeSlot: () => boolean
  /** True if `acquire` would succeed. */
  canAcquire: (team: string | null) => boolean
  /** True if `acquireSlot` would succeed. */
  canAcquireSlot: () => boolean
  /** Number of statements in flight. */
  active: () => number
  slots: () => number
  /** Maximum number of statements in flight: the slots and the extra places. */
  capacity: () => number
  /** Number of open connections. */
  connections: () => number
  /** Opens connections in advance. */
  preconnect: () => void
  /** Closes all connections, including those in use: their pending commands reject. */
  closeAll: () => void
  /** Closes idle connections, opens no new ones, and closes those in use when they are returned. */
  close: () => void
}

/**
 * Statements in flight beyond the slots. On a busy target the next statement is then already there when a slot becomes free,
 * so that the slot does not stay idle for a round trip.
 */
const EXTRA_IN_FLIGHT = 1
const CONNECT_TIMEOUT_MS = 500
/** Delay after a failed connection attempt, in ms. */
const RECONNECT_DELAY_MS = 100
/** Part of a target's slots that may open connections for teams at once, as opening one takes the time of a slot. */
const MAX_OPENING_FRACTION = 0.5
/** Time after the target has refused a connection at its limit for which no more connections than now are kept, in ms. */
const REFUSED_LIMIT_MS = 1000
/**
 * Connections of a target's limit that the teams of one home leave free, as a multiple of the statements that the target runs at once.
 * A target notices the loss of a VM only after seconds; meanwhile the next home of the database opens its connections beside those of
 * the lost one, and must be able to use all slots with them: one set at work, and one being replaced by those of other teams.
 */
const NEXT_HOME_SETS = 2

let lastConnectionNumber = 0

/** Creates an empty pool; connections are opened by `preconnect` and `acquire`. */
export function createStatementTargetPool (opts: StatementTargetPoolOptions): StatementTargetPool {
  const { slots } = opts
  const connections = createTeamConnections()
  /** Connections being opened for teams, by team. */
  const openingByTeam = new Map<string | null, number>()
  const maxOpening = Math.max(1, Math.ceil(slots * MAX_OPENING_FRACTION))
  let opening = 0
  /** Connections being opened in advance. */
  let connecting = 0
  let refusedLimit = Infinity
  let refusedLimitAt = -Infinity
  let active = 0
  let failedAt = -Infinity
  let closed = false

  /** Keeps `capacity()` + 1 idle connections, so that no statement waits for a connect while an idle transaction holds a connection. */
  function preconnect (): void {
    if (opts.hasTeams()) return
    const wanted = slots + EXTRA_IN_FLIGHT + 1
    while (!closed && connections.idle(null) + connecting < wanted && connections.total() + connecting < opts.maxConnections()) {
      if (hasJustFailed()) return
      connecting += 1
      connect(null, () => { connecting -= 1 })
    }
  }

  function hasJustFailed (): boolean {
    return performance.now() - failedAt < RECONNECT_DELAY_MS
  }

  function connect (team: string | null, onEnded: () => void): void {
    const { address, database, instance } = opts
    opts.driver.connect({ address, database, instance, team, timeoutMs: CONNECT_TIMEOUT_MS }).then((result) => {
      onEnded()
      if (result.kind === 'open') addConnection(team, result.link)
      else handleConnectFailure(result.reason)
    }, () => {
      onEnded()
      handleConnectFailure('refused')
    })
  }

  /** A target at its limit has not failed: the next connection replaces an idle one, if there is any. */
  function handleConnectFailure (reason: ConnectFailure): void {
    if (reason === 'connectionLimit' && opts.hasTeams() && connections.total() > 0) {
      refusedLimit = connections.total()
      refusedLimitAt = performance.now()
      return
    }
    failedAt = performance.now()
    opts.onConnectionFailure()
  }

  function maxTeamConnections (): number {
    const limit = Math.max(slots + EXTRA_IN_FLIGHT, opts.maxConnections() - NEXT_HOME_SETS * (slots + EXTRA_IN_FLIGHT))
    return performance.now() - refusedLimitAt < REFUSED_LIMIT_MS ? Math.min(limit, refusedLimit) : limit
  }

  function hasRoom (): boolean {
    return connections.total() + opening < maxTeamConnections()
  }

  function hasOpeningRoom (): boolean {
    return !closed && opening < maxOpening && !hasJustFailed()
  }

  function canOpen (team: string | null): boolean {
    const ofTeam = connections.size(team) + (openingByTeam.get(team) ?? 0)
    return hasOpeningRoom() && ofTeam < slots + EXTRA_IN_FLIGHT &&
      (hasRoom() || connections.hasIdleOfOthers(team))
  }

  function countOpening (team: string | null, change: 1 | -1): void {
    opening += change
    const count = (openingByTeam.get(team) ?? 0) + change
    if (count === 0) openingByTeam.delete(team)
    else openingByTeam.set(team, count)
  }

  function addConnection (team: string | null, link: TargetLink): void {
    if (closed) {
      link.close()
      return
    }
    lastConnectionNumber += 1
    const { instance } = opts
    const prepared = createPreparedStatements()
    const connection: PooledConnection = { number: lastConnectionNumber, instance, link, team, values: new Map(), prepared }
    connections.add(connection)
    link.onClose(() => removeConnection(connection))
    opts.onAvailable()
  }

  function removeConnection (connection: PooledConnection): void {
    const wasIdle = connections.remove(connection)
    // The close of an idle connection is often the first sign that the target has stopped.
    if (wasIdle) opts.onConnectionFailure()
  }

  /** True if a statement can be sent, in a slot or beyond the slots. */
  function hasPlace (): boolean {
    return active < slots + EXTRA_IN_FLIGHT
  }

  function hasFreeSlot (): boolean {
    return active < slots
  }

  return {
    acquire (team, values) {
      if (!hasPlace()) return undefined
      const connection = connections.takeIdle(team, (candidate) => hasSessionValues(candidate, values))
      preconnect()
      if (connection !== undefined) active += 1
      return connection
    },
    hasOpeningRoom,
    canOpen,
    open (team) {
      if (!canOpen(team)) return
      if (!hasRoom()) {
        connections.takeLeastRecent(team)?.link.close()
        opts.onTeamConnection('replaced')
      }
      countOpening(team, 1)
      opts.onTeamConnection('opened')
      connect(team, () => countOpening(team, -1))
    },
    opening: (team) => openingByTeam.get(team) ?? 0,
    acquireSlot () {
      if (active >= slots + EXTRA_IN_FLIGHT) return false
      active += 1
      return true
    },
    releaseSlot () {
      active -= 1
      opts.onAvailable()
    },
    release (connection) {
      if (!connection.link.isOpen()) removeConnection(connection)
      else if (closed || connections.total() > opts.maxConnections()) connection.link.close()
      else connections.release(connection)
      opts.onAvailable()
    },
    isFree: (team) => hasFreeSlot() && connections.idle(team) > 0,
    hasFreeSlot,
    canAcquire: (team) => hasPlace() && connections.idle(team) > 0,
    canAcquireSlot: () => active < slots + EXTRA_IN_FLIGHT,
    active: () => active,
    slots: () => slots,
    capacity: () => slots + EXTRA_IN_FLIGHT,
    connections: connections.total,
    preconnect,
    closeAll () {
      for (const connection of connections.all()) connection.link.close()
    },
    close () {
      closed = true
      for (const connection of connections.takeAllIdle()) connection.link.close()
    },
  }
}

/** True if a connection has exactly these session values. */
export function hasSessionValues ({ values }: PooledConnection, wanted: readonly SessionValue[]): boolean {
  return values.size === wanted.length && wanted.every(([name, value]) => values.get(name) === value)
}
