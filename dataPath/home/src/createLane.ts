import { type Address, type SessionValue } from '@briarpick/types'
import { type TargetDriver, type TargetLink } from './targetDriver.js'

/** A connection of a lane, and what callers left on it. */
export interface LaneConnection {
  readonly link: TargetLink
  /** Session values set on it. */
  values: ReadonlyMap<string, string>
  /** Prepared names that it knows. */
  readonly prepared: Set<string>
}

/** Options of a lane. */
export interface LaneOptions {
  readonly address: Address
  readonly database: string
  readonly instance: string
  readonly driver: TargetDriver
  readonly slots: number
  readonly maxConnections: () => number
  /** Called when a slot or connection became free. */
  readonly onFree: () => void
  readonly onRefused: () => void
}

/** The connections and slots of one target. */
export interface Lane {
  /** Takes a slot, or the place ahead of one, and an idle connection, best one with these session values; undefined if none is free. */
  take: (values: readonly SessionValue[]) => LaneConnection | undefined
  /** Takes a slot for a connection that is taken already. */
  takeSlot: () => boolean
  giveSlot: () => void
  /** Gives a connection back; the slot is given separately. */
  give: (connection: LaneConnection) => void
  /** True if a slot and a connection are free. */
  isFree: () => boolean
  /** True if a statement may be sent now, to a free slot or ahead of one. */
  mayTake: () => boolean
  /** The same for a statement that has its connection. */
  hasRoom: () => boolean
  active: () => number
  slots: () => number
  /** Statements that may be on their way at once. */
  capacity: () => number
  connections: () => number
  /** Opens connections ahead of need. */
  warm: () => void
  /** Closes all connections, those at work too: their commands reject. */
  abandon: () => void
  close: () => void
}

/**
 * Statements on their way beyond the slots, for a target that is kept busy: its next slot then does not rest for the round trip
 * between an answer and the statement after it.
 */
const AHEAD = 1
const CONNECT_TIMEOUT_MS = 500
/** Time between a failed connect and the next, in ms. */
const RECONNECT_MS = 100

/** Creates a lane without connections. */
export function createLane (opts: LaneOptions): Lane {
  const { slots } = opts
  const idle: LaneConnection[] = []
  const all = new Set<LaneConnection>()
  let opening = 0
  let active = 0
  let failedAt = -Infinity
  let closed = false

  /** One more than the slots, so that a transaction that rests does not make the next one wait for a connect. */
  function warm (): void {
    while (!closed && idle.length + opening < slots + AHEAD + 1 && all.size + opening < opts.maxConnections()) {
      if (performance.now() - failedAt < RECONNECT_MS) return
      openOne()
    }
  }

  function openOne (): void {
    opening += 1
    const { address, database, instance } = opts
    opts.driver.connect({ address, database, instance, timeoutMs: CONNECT_TIMEOUT_MS }).then((result) => {
      opening -= 1
      if (result.kind === 'open') adopt(result.link)
      else fail()
    }, () => {
      opening -= 1
      fail()
    })
  }

  function fail (): void {
    failedAt = performance.now()
    opts.onRefused()
  }

  function adopt (link: TargetLink): void {
    if (closed) {
      link.close()
      return
    }
    const connection: LaneConnection = { link, values: new Map(), prepared: new Set() }
    all.add(connection)
    link.onClose(() => forget(connection))
    idle.push(connection)
    opts.onFree()
  }

  function forget (connection: LaneConnection): void {
    all.delete(connection)
    const place = idle.indexOf(connection)
    if (place < 0) return
    idle.splice(place, 1)
    // An idle connection that ends is the first sign of a target that stopped.
    opts.onRefused()
  }

  /** The connection that needs the least preparation, last used first. */
  function bestFor (values: readonly SessionValue[]): LaneConnection | undefined {
    const place = idle.findLastIndex((connection) => hasValues(connection, values))
    if (place < 0) return idle.pop()
    return idle.splice(place, 1)[0]
  }

  return {
    take (values) {
      if (active >= slots + AHEAD) return undefined
      const connection = bestFor(values)
      warm()
      if (connection !== undefined) active += 1
      return connection
    },
    takeSlot () {
      if (active >= slots + AHEAD) return false
      active += 1
      return true
    },
    giveSlot () {
      active -= 1
      opts.onFree()
    },
    give (connection) {
      if (!connection.link.isOpen()) forget(connection)
      else if (closed || all.size > opts.maxConnections()) connection.link.close()
      else idle.push(connection)
      opts.onFree()
    },
    isFree: () => active < slots && idle.length > 0,
    mayTake: () => active < slots + AHEAD && idle.length > 0,
    hasRoom: () => active < slots + AHEAD,
    active: () => active,
    slots: () => slots,
    capacity: () => slots + AHEAD,
    connections: () => all.size,
    warm,
    abandon () {
      for (const connection of [...all]) connection.link.close()
    },
    close () {
      closed = true
      for (const connection of [...idle]) connection.link.close()
      idle.length = 0
    },
  }
}

/** True if a connection has just these session values. */
export function hasValues ({ values }: LaneConnection, wanted: readonly SessionValue[]): boolean {
  return values.size === wanted.length && wanted.every(([name, value]) => values.get(name) === value)
}
