import { type Address, formatAddress } from '@briarpick/types'

/** The home of a database as a view names it. */
export interface NamedHome {
  readonly database: string
  readonly epoch: number
  /** Name of the proxy's process, and its address; undefined if the database has no home. */
  readonly process: ProxyProcess | undefined
}

/** A process of a proxy; a later one at the same address has another name. */
export interface ProxyProcess {
  readonly proxy: string
  readonly address: Address
}

/** Tells since when no home of a database before the present one has admitted operations. Times are monotonic, in ms. */
export interface HomeEnds {
  /** Records that a process has been listening at its address since the given time: earlier processes there have ended. */
  recordProcess: (process: ProxyProcess, listeningSince: number) => void
  /** Records the present home of a database. */
  observe: (home: NamedHome) => void
  /** Forgets which homes were assigned before: earlier leaders may have given them shares. */
  startLeadership: () => void
  /**
   * Time by which the present home had ended, if a later process has its address; otherwise that by which all homes before the present
   * one had ended, if that one was assigned under this leadership. Undefined if neither is known.
   */
  unusedSince: (database: string) => number | undefined
}

interface KnownHome extends NamedHome {
  readonly endedBefore: number | undefined
}

/** Creates a record without homes. */
export function createHomeEnds (now: () => number): HomeEnds {
  const processes = new Map<string, { readonly proxy: string, readonly listeningSince: number }>()
  const homes = new Map<string, KnownHome>()

  /** A later process at the address of a home proves that the home has ended. */
  function replacedAt ({ process }: NamedHome): number | undefined {
    const present = process === undefined ? undefined : processes.get(formatAddress(process.address))
    return present !== undefined && present.proxy !== process?.proxy ? present.listeningSince : undefined
  }

  function endOf (home: NamedHome, next: NamedHome): number {
    return (next.epoch === home.epoch + 1 ? replacedAt(home) : undefined) ?? now()
  }

  return {
    recordProcess ({ proxy, address }, listeningSince) {
      const key = formatAddress(address)
      const known = processes.get(key)
      // A renewal of an earlier process may have been delayed.
      const isLater = known === undefined || (known.proxy !== proxy && known.listeningSince < listeningSince)
      if (isLater) processes.set(key, { proxy, listeningSince })
    },
    observe (home) {
      const known = homes.get(home.database)
      if (known?.epoch === home.epoch) return
      homes.set(home.database, { ...home, endedBefore: known === undefined ? undefined : endOf(known, home) })
    },
    startLeadership () {
      for (const [database, known] of homes) homes.set(database, { ...known, endedBefore: undefined })
    },
    unusedSince (database) {
      const known = homes.get(database)
      return known === undefined ? undefined : replacedAt(known) ?? known.endedBefore
    },
  }
}
