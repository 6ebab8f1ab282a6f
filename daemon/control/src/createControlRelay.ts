import { type Address } from '@briarpick/types'
import { BriarpickError } from '@briarpick/error'
import { createRpcClients } from '@briarpick/rpc'
import { type ControlDirectory } from './createControlDirectory.js'

/** Forwards requests to the control leader. */
export interface ControlRelay {
  /** Sends a request to the leader; rejects with ERR_BRIARPICK_NOT_LEADER if none is found. */
  request: <R>(method: string, params: unknown) => Promise<R>
  close: () => void
}

/** Timeout of a forwarded request, in ms; below the 1 s after which an operator's client tries the next node. */
const REQUEST_TIMEOUT_MS = 800
const CONNECT_TIMEOUT_MS = 300

/** Creates a relay to the leader that the directory names. */
export function createControlRelay (directory: Pick<ControlDirectory, 'findLeader'>): ControlRelay {
  const clients = createRpcClients({ connectTimeoutMs: CONNECT_TIMEOUT_MS })
  /** Leader that failed last; a node that still names it has stale information. */
  let failed: Address | undefined

  return {
    async request <R>(method: string, params: unknown): Promise<R> {
      const leader = await directory.findLeader(failed)
      if (leader === null) throw noLeaderError()
      try {
        const response = await clients.get(leader).request<R>(method, params, { timeoutMs: REQUEST_TIMEOUT_MS })
        failed = undefined
        return response
      } catch (err) {
        if (!isRefusal(err)) failed = leader
        throw err
      }
    },
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
