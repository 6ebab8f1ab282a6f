import { type Address, type SessionValue } from '@briarpick/types'
import { type TargetDriver, type TargetLink } from './targetDriver.js'

/** Pooled connection and the session state that statements have left on it. */
export interface PooledConnection {
  readonly link: TargetLink
  /** Session values that are set. */
  values: ReadonlyMap<string, string>
  /** Names of the statements that are prepared. */
  readonly prepared: Set<string>
}

/** Options of a target's pool. */
export interface StatementTargetPoolOptions {
  readonly address: Address
  readonly database: string
  readonly instance: string
  readonly driver: TargetDriver
  readonly slots: number
  readonly maxConnections: () => number
  /** Called when a slot or a connection becomes free. */
  readonly onAvailable: () => void
  /** Called when a connection attempt fails or an idle connection closes. */
  readonly onConnectionFailure: () => void
}

/** Connection pool of one target. Slots limit the statements that run at once; a connection may be held without a slot. */
export interface StatementTargetPool {
  /**
   * Acquires a slot, or one of the extra places in flight, and an idle connection, preferably one with these session values;
   * undefined if either is missing.
   */
  acquire: (values: readonly SessionValue[]) => PooledConnection | undefined
  /** Acquires a slot for a connection that is already held; false if none is free. */
  acquireSlot: () => boolean
  releaseSlot: () => void
  /** Returns a connection to the pool; its slot is released separately. */
  release: (connection: PooledConnection) => void
  /** True if a slot and a connection are free; extra places in flight don't count. */
  isFree: () => boolean
  /** True if `acquire` would succeed. */
  canAcquire: () => boolean
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

/** Creates an empty pool; connections are opened by `preconnect` and `acquire`. */
export function createStatementTargetPool (opts: StatementTargetPoolOptions): StatementTargetPool {
  const { slots } = opts
  const idle: PooledConnection[] = []
  const connections = new Set<PooledConnection>()
  let connecting = 0
  let active = 0
  let failedAt = -Infinity
  let closed = false

  /** Keeps `capacity()` + 1 idle connections, so that no statement waits for a connect while an idle transaction holds a connection. */
  function preconnect (): void {
    while (!closed && idle.length + connecting < slots + EXTRA_IN_FLIGHT + 1 && connections.size + connecting < opts.maxConnections()) {
      if (performance.now() - failedAt < RECONNECT_DELAY_MS) return
      openConnection()
    }
  }

  function openConnection (): void {
    connecting += 1
    const { address, database, instance } = opts
    opts.driver.connect({ address, database, instance, timeoutMs: CONNECT_TIMEOUT_MS }).then((result) => {
      connecting -= 1
      if (result.kind === 'open') addConnection(result.link)
      else handleConnectFailure()
    }, () => {
      connecting -= 1
      handleConnectFailure()
    })
  }

  function handleConnectFailure (): void {
    failedAt = performance.now()
    opts.onConnectionFailure()
  }

  function addConnection (link: TargetLink): void {
    if (closed) {
      link.close()
      return
    }
    const connection: PooledConnection = { link, values: new Map(), prepared: new Set() }
    connections.add(connection)
    link.onClose(() => removeConnection(connection))
    idle.push(connection)
    opts.onAvailable()
  }

  function removeConnection (connection: PooledConnection): void {
    connections.delete(connection)
    const index = idle.indexOf(connection)
    if (index < 0) return
    idle.splice(index, 1)
    // The close of an idle connection is often the first sign that the target has stopped.
    opts.onConnectionFailure()
  }

  /** Takes the most recently used connection with these session values, or else the most recently used one. */
  function takeIdle (values: readonly SessionValue[]): PooledConnection | undefined {
    const index = idle.findLastIndex((connection) => hasSessionValues(connection, values))
    if (index < 0) return idle.pop()
    return idle.splice(index, 1)[0]
  }

  return {
    acquire (values) {
      if (active >= slots + EXTRA_IN_FLIGHT) return undefined
      const connection = takeIdle(values)
      preconnect()
      if (connection !== undefined) active += 1
      return connection
    },
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
      else if (closed || connections.size > opts.maxConnections()) connection.link.close()
      else idle.push(connection)
      opts.onAvailable()
    },
    isFree: () => active < slots && idle.length > 0,
    canAcquire: () => active < slots + EXTRA_IN_FLIGHT && idle.length > 0,
    canAcquireSlot: () => active < slots + EXTRA_IN_FLIGHT,
    active: () => active,
    slots: () => slots,
    capacity: () => slots + EXTRA_IN_FLIGHT,
    connections: () => connections.size,
    preconnect,
    closeAll () {
      for (const connection of [...connections]) connection.link.close()
    },
    close () {
      closed = true
      for (const connection of [...idle]) connection.link.close()
      idle.length = 0
    },
  }
}

/** True if a connection has exactly these session values. */
export function hasSessionValues ({ values }: PooledConnection, wanted: readonly SessionValue[]): boolean {
  return values.size === wanted.length && wanted.every(([name, value]) => values.get(name) === value)
}
