import { type TargetConnection } from '@briarpick/pg-target'

/** Options of a pool. */
export interface TargetPoolOptions {
  /** Opens a connection; rejects if the target can't be used. */
  readonly connect: () => Promise<TargetConnection>
  /** Most connections, open or opening. */
  readonly maxConnections: number
  /** Most statements at work. */
  readonly slots: number
  /** Called when a slot or a connection became free. */
  readonly onFree: () => void
}

/** The connections and slots of one target. */
export interface TargetPool {
  /** Takes a slot and an idle connection; undefined if there is none now. Opens more in the background. */
  acquire: () => TargetConnection | undefined
  /** Waits for a slot for a connection that is taken already; such waiters go before all others. */
  acquireSlot: () => Promise<void>
  releaseSlot: () => void
  /** Gives a connection back; the slot is given separately. */
  release: (connection: TargetConnection) => void
  /** True if `take` would succeed. */
  canAcquire: () => boolean
  active: () => number
  open: () => number
  /** Opens connections ahead of need. */
  warm: () => void
  /** Replaces the limits; connections over the limit close when given back. */
  resize: (maxConnections: number, slots: number) => void
  /** Closes all connections, those at work too: their exchanges reject. */
  closeAll: () => void
  close: () => void
}

/** Time between a failed connect and the next, in ms. */
const RECONNECT_MS = 100

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

  function warm (): void {
    while (!closed && idle.length + opening < slots && all.size + opening < maxConnections) {
      if (performance.now() - failedAt < RECONNECT_MS) return
      openOne()
    }
  }

  function openOne (): void {
    opening += 1
    opts.connect().then(adopt, () => {
      opening -= 1
      failedAt = performance.now()
    })
  }

  function adopt (connection: TargetConnection): void {
    opening -= 1
    if (closed) {
      connection.close()
      return
    }
    all.add(connection)
    connection.onClose(() => forget(connection))
    idle.push(connection)
    opts.onFree()
  }

  function forget (connection: TargetConnection): void {
    all.delete(connection)
    const place = idle.indexOf(connection)
    if (place >= 0) idle.splice(place, 1)
  }

  return {
    acquire () {
      if (active >= slots) return undefined
      const connection = idle.pop()
      warm()
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
      opts.onFree()
    },
    release (connection) {
      if (!connection.isOpen()) forget(connection)
      else if (closed || all.size > maxConnections) connection.close()
      else idle.push(connection)
      opts.onFree()
    },
    canAcquire: () => active < slots && idle.length > 0,
    active: () => active,
    open: () => all.size + opening,
    warm,
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
