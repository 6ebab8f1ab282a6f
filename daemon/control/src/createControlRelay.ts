import { type Address, formatAddress } from '@briarpick/types'
import { BriarpickError } from '@briarpick/error'
import { findLeader } from '@briarpick/control-finder'
import { createRpcClients } from '@briarpick/rpc'

/** Options of a relay. */
export interface ControlRelayOptions {
  /** Control nodes to ask, beside those learned. */
  readonly contacts: () => readonly Address[]
  /** This node's own address, which is not asked. */
  readonly self: Address
}

/** Passes requests on to the leader of control. */
export interface ControlRelay {
  ask: <R>(method: string, params: unknown) => Promise<R>
  /** Control nodes known, those of the settings and those learned. */
  known: () => readonly Address[]
  close: () => void
}

/** Longest time for one answer, in ms; an operator's client moves on after a second. */
const ANSWER_TIMEOUT_MS = 800
const FIND_TIMEOUT_MS = 300

/** Creates a relay that knows nothing but its contacts. */
export function createControlRelay (opts: ControlRelayOptions): ControlRelay {
  const clients = createRpcClients({ connectTimeoutMs: FIND_TIMEOUT_MS })
  const learned = new Map<string, Address>()
  let leader: Address | null = null
  /** The leader that failed last; nodes that still name it are behind. */
  let failed: Address | undefined

  function known (): readonly Address[] {
    const all = new Map([...opts.contacts(), ...learned.values()].map((address) => [formatAddress(address), address]))
    all.delete(formatAddress(opts.self))
    return [...all.values()]
  }

  async function search (failed: Address | undefined): Promise<Address | null> {
    const found = await findLeader({ nodes: known(), failed, timeoutMs: FIND_TIMEOUT_MS })
    for (const control of found?.controls ?? []) learned.set(formatAddress(control), control)
    return found?.leader ?? null
  }

  return {
    async ask <R>(method: string, params: unknown): Promise<R> {
      leader ??= await search(failed)
      failed = undefined
      if (leader === null) throw noLeader()
      try {
        return await clients.of(leader).request<R>(method, params, { timeoutMs: ANSWER_TIMEOUT_MS })
      } catch (err) {
        failed = leader
        leader = null
        throw err
      }
    },
    known,
    close () {
      clients.close()
    },
  }
}

function noLeader (): BriarpickError {
  return new BriarpickError('ERR_BRIARPICK_NOT_LEADER', 'no control node that can be reached knows a leader', {
    hint: 'try again shortly; if it lasts, check that more than half of the control nodes run and reach each other',
  })
}
