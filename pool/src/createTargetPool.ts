import { type TargetConnection } from '@briarpick/pg-target'

/** Options of a pool. */
export interface TargetPoolOptions {
  /** Opens a connection; rejects if the target can't be used. */
  readonly connect: () => Promise<TargetConnection>
  /** Maximum number of open and opening connections. */
  readonly maxConnections: number
  /** Maximum number of statements in flight. */
  readonly slots: number
  /** Called when a slot or a connection may have become free. */
  readonly onAvailable: () => void
}

/** Connection pool of one target, with a concurrency limit: a statement needs a slot and a connection. */
export interface TargetPool {
  /** Acquires a slot and an idle connection; undefined if either is missing. Opens more connections in the background. */
  acquire: () => TargetConnection | undefined
  /** Waits for a slot for a connection that the caller already has. These waiters have priority over `acquire`. */
  acquireSlot: () => Promise<void>
  releaseSlot: () => void
  /** Returns a connection; its slot is released separately. */
  release: (connection: TargetConnection) => void
  /** True if `acquire` would succeed. */
  canAcquire: () => boolean
  active: () => number
  connections: () => number
  /** Opens connections until there is an idle one for each slot, within the connection limit. */
  preconnect: () => void
  /** Replaces the limits; connections over the limit are closed when they are released. */
  resize: (maxConnections: number, slots: number) => void
  /** Closes all connections, also those in use, whose exchanges reject. */
  closeAll: () => void
  /** Closes the idle connections, and each other one when it is released. */
  close: () => void
}

/** Delay between a failed connect and the next one, in ms. */
const RECONNECT_DELAY_MS = 100

/** Creates an empty pool. */
export function createTargetPool (opts: TargetPoolOptions): TargetPool {
  let { maxConnections, slots } = opts
  const idle: TargetConnection[] = []
  const all = new Set<TargetConnection>()
  const slotWaiters: Array<() => void> = []
  let opening = 0
  let active = 0
  let failedAt = -Infinity
  let closed = false

  function preconnect (): void {
    while (!closed && idle.length + opening < slots && all.size + opening < maxConnections) {
      if (performance.now() - failedAt < RECONNECT_DELAY_MS) return
      openConnection()
    }
  }

  function openConnection (): void {
    opening += 1
    opts.connect().then(addConnection, () => {
      opening -= 1
      failedAt = performance.now()
    })
  }

  function addConnection (connection: TargetConnection): void {
    opening -= 1
    if (closed) {
      connection.close()
      return
    }
    all.add(connection)
    connection.onClose(() => removeConnection(connection))
    idle.push(connection)
    opts.onAvailable()
  }

  function removeConnection (connection: TargetConnection): void {
    all.delete(connection)
    const index = idle.indexOf(connection)
    if (index >= 0) idle.splice(index, 1)
  }

  return {
    acquire () {
      if (active >= slots) return undefined
      const connection = idle.pop()
      preconnect()
      if (connection !== undefined) active += 1
      return connection
    },
    acquireSlot () {
      if (active < slots) {
        active += 1
        return Promise.resolve()
      }
      return new Promise((resolve) => slotWaiters.push(resolve))
    },
    releaseSlot () {
      const next = slotWaiters.shift()
      if (next !== undefined) {
        next()
        return
      }
      active -= 1
      opts.onAvailable()
    },
    release (connection) {
      if (!connection.isOpen()) removeConnection(connection)
      else if (closed || all.size > maxConnections) connection.close()
      else idle.push(connection)
      opts.onAvailable()
    },
    canAcquire: () => active < slots && idle.length > 0,
    active: () => active,
    connections: () => all.size + opening,
    preconnect,
    resize (nextConnections, nextSlots) {
      maxConnections = nextConnections
      slots = nextSlots
    },
    closeAll () {
      for (const connection of [...all]) connection.close()
    },
    close () {
      closed = true
      for (const connection of idle) connection.close()
      idle.length = 0
    },
  }
}
