import { type Address, parseAddress } from '@briarpick/types'
import { createLogger } from '@briarpick/logs'
import { type BackendKey } from '@briarpick/pg-caller'
import { createRpcClient } from '@briarpick/rpc'
import { hashProxy, proxyHashOf } from './entry/callerKey.js'

/** Forwards a cancel request to the proxy that issued its key. Returns at once; unreachable nodes and proxies are skipped. */
export type CancelForwarder = (key: BackendKey) => void

interface ProxyEndpoint {
  readonly proxy: string
  readonly rpcAddress: string
}

interface ControlStatus {
  readonly ready: boolean
  readonly proxies: readonly ProxyEndpoint[]
}

const RPC_TIMEOUT_MS = 500
const log = createLogger('proxy:cancel')

/** Creates a forwarder that looks up proxy addresses at the control nodes. */
export function createCancelForwarder (opts: { readonly control: readonly Address[] }): CancelForwarder {
  async function listProxies (): Promise<readonly ProxyEndpoint[]> {
    const results = await Promise.allSettled(opts.control.map((address) => requestOnce<ControlStatus>(address, 'control.status', {})))
    return results.flatMap((result) => result.status === 'fulfilled' && result.value.ready ? result.value.proxies : [])
  }

  async function forward (key: BackendKey): Promise<void> {
    const owners = (await listProxies()).filter(({ proxy }) => hashProxy(proxy) === proxyHashOf(key))
    const addresses = owners.flatMap(({ rpcAddress }) => parseAddress(rpcAddress) ?? [])
    await Promise.allSettled(addresses.map((address) => requestOnce(address, 'caller.cancel', key)))
  }

  return (key) => {
    forward(key).catch((err) => log('cancelNotForwarded', { reason: String(err) }))
  }
}

async function requestOnce<R> (address: Address, method: string, params: unknown): Promise<R> {
  const client = createRpcClient({ address })
  try {
    return await client.request<R>(method, params, { timeoutMs: RPC_TIMEOUT_MS })
  } finally {
    client.close()
  }
}
