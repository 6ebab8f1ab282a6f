import { type Address, parseAddress } from '@briarpick/types'
import { BriarpickError } from '@briarpick/error'
import { createRpcClient } from '@briarpick/rpc'

/** Argument with the addresses of the control nodes. */
export const controlArg = {
  type: 'string',
  required: true,
  description: 'comma-separated addresses of the control nodes',
  valueHint: '10.0.0.1:7400,…',
} as const

const REQUEST_TIMEOUT_MS = 4000
const MAX_ROUNDS = 3
const ROUND_DELAY_MS = 500

/** Parses comma-separated addresses; throws ERR_BRIARPICK_USAGE if one is invalid. */
export function parseAddresses (text: string): readonly Address[] {
  return text.split(',').map((part) => {
    const address = parseAddress(part.trim())
    if (address !== undefined) return address
    throw new BriarpickError('ERR_BRIARPICK_USAGE', `${part} is not an address`, { hint: 'use IP addresses and ports, such as 10.0.0.1:7400' })
  })
}

/** Sends a request to one daemon over a new connection. */
export async function sendRequest<R> (address: Address, method: string, params: unknown): Promise<R> {
  const client = createRpcClient({ address })
  try {
    return await client.request<R>(method, params, { timeoutMs: REQUEST_TIMEOUT_MS })
  } finally {
    client.close()
  }
}

/**
 * Sends a request to the control nodes in turn until the leader responds; throws the last error after MAX_ROUNDS. A bundle error
 * doesn't depend on the node and is not retried.
 */
export async function sendToLeader<R> (addresses: readonly Address[], method: string, params: unknown): Promise<R> {
  let lastError: unknown
  for (let round = 0; round < MAX_ROUNDS; round++) {
    for (const address of addresses) {
      try {
        return await sendRequest<R>(address, method, params)
      } catch (err) {
        if (!(err instanceof BriarpickError) || err.code === 'ERR_BRIARPICK_BUNDLE') throw err
        lastError = err
      }
    }
    await new Promise((resolve) => setTimeout(resolve, ROUND_DELAY_MS))
  }
  throw lastError
}
