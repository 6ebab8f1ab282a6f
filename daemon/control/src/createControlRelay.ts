import { type Address, formatAddress } from '@briarpick/types'
import { BriarpickError } from '@briarpick/error'
import { findLeader } from '@briarpick/control-finder'
import { createRpcClients } from '@briarpick/rpc'

/** Options of a control relay. */
export interface ControlRelayOptions {
  /** Returns the control nodes that are queried in addition to those learned from responses. */
  readonly contacts: () => readonly Address[]
  /** Address of this node, which is never queried. */
  readonly self: Address
}

/** Forwards requests to the control leader. */
export interface ControlRelay {
  /** Sends a request to the leader; rejects with ERR_BRIARPICK_NOT_LEADER if none is found. */
  request: <R>(method: string, params: unknown) => Promise<R>
  /** Returns the contacts and the learned control nodes, without this node. */
  known: () => readonly Address[]
  close: () => void
}

/** Timeout of a forwarded request, in ms; below the 1 s after which an operator's client tries the next node. */
const REQUEST_TIMEOUT_MS = 800
const SEARCH_TIMEOUT_MS = 300

/** Creates a relay that initially knows only its contacts. */
export function createControlRelay (opts: ControlRelayOptions): ControlRelay {
  const clients = createRpcClients({ connectTimeoutMs: SEARCH_TIMEOUT_MS })
  const learned = new Map<string, Address>()
  let leader: Address | null = null
  /** Leader that failed last; a node that still names it has stale information. */
  let failed: Address | undefined

  function known (): readonly Address[] {
    const all = new Map([...opts.contacts(), ...learned.values()].map((address) => [formatAddress(address), address]))
    all.delete(formatAddress(opts.self))
    return [...all.values()]
  }

  async function searchLeader (failed: Address | undefined): Promise<Address | null> {
    const found = await findLeader({ nodes: known(), failed, timeoutMs: SEARCH_TIMEOUT_MS })
    for (const control of found?.controls ?? []) learned.set(formatAddress(control), control)
    return found?.leader ?? null
  }

  return {
    async request <R>(method: string, params: unknown): Promise<R> {
      leader ??= await searchLeader(failed)
      failed = undefined
      if (leader === null) throw noLeaderError()
      try {
        return await clients.get(leader).request<R>(method, params, { timeoutMs: REQUEST_TIMEOUT_MS })
      } catch (err) {
        if (!isRefusal(err)) {
          failed = leader
          leader = null
        }
        throw err
      }
    },
    known,
    close () {
      clients.close()
    },
  }
}

/** True if the leader has answered that the request itself is invalid: it is reachable and leads. */
function isRefusal (err: unknown): boolean {
  return err instanceof BriarpickError && err.code === 'ERR_BRIARPICK_USAGE'
}

function noLeaderError (): BriarpickError {
  return new BriarpickError('ERR_BRIARPICK_NOT_LEADER', 'no reachable control node knows a leader', {
    hint: 'retry shortly; if the error persists, check that a majority of the control nodes are running and can reach each other',
  })
}
