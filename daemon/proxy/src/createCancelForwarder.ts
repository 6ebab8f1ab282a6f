import { type Address, parseAddress } from '@briarpick/types'
import { createLogger } from '@briarpick/logs'
import { type BackendKey } from '@briarpick/pg-caller'
import { createRpcClient } from '@briarpick/rpc'
import { markOf, proxyMark } from './entry/callerKey.js'

/** Passes a cancel request on to the proxy that gave its key. */
export type CancelForwarder = (key: BackendKey) => void

interface ProxyPlace {
  readonly proxy: string
  readonly rpcAddress: string
}

interface ControlAnswer {
  readonly ready: boolean
  readonly proxies: readonly ProxyPlace[]
}

const TIMEOUT_MS = 500
const log = createLogger('proxy:cancel')

/** Creates a forwarder that asks control where the proxy is. */
export function createCancelForwarder (opts: { readonly control: readonly Address[] }): CancelForwarder {
  async function liveProxies (): Promise<readonly ProxyPlace[]> {
    const answers = await Promise.allSettled(opts.control.map((address) => ask<ControlAnswer>(address, 'control.status', {})))
    return answers.flatMap((answer) => answer.status === 'fulfilled' && answer.value.ready ? answer.value.proxies : [])
  }

  async function forward (key: BackendKey): Promise<void> {
    const owners = (await liveProxies()).filter(({ proxy }) => proxyMark(proxy) === markOf(key))
    const addresses = owners.flatMap(({ rpcAddress }) => parseAddress(rpcAddress) ?? [])
    await Promise.allSettled(addresses.map((address) => ask(address, 'caller.cancel', key)))
  }

  return (key) => {
    forward(key).catch((err) => log('notForwarded', { reason: String(err) }))
  }
}

async function ask<R> (address: Address, method: string, params: unknown): Promise<R> {
  const client = createRpcClient({ address })
  try {
    return await client.request<R>(method, params, { timeoutMs: TIMEOUT_MS })
  } finally {
    client.close()
  }
}
