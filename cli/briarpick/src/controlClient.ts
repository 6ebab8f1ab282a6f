import { type Address, parseAddress } from '@briarpick/types'
import { BriarpickError } from '@briarpick/error'
import { createRpcClient } from '@briarpick/rpc'

/** Argument that names the control nodes. */
export const controlArg = {
  type: 'string',
  required: true,
  description: 'addresses of the control nodes, with commas',
  valueHint: '10.0.0.1:7400,…',
} as const

const TIMEOUT_MS = 4000
const ROUNDS = 3
const ROUND_PAUSE_MS = 500

/** Reads addresses with commas between them. */
export function parseAddresses (text: string): readonly Address[] {
  return text.split(',').map((part) => {
    const address = parseAddress(part.trim())
    if (address !== undefined) return address
    throw new BriarpickError('ERR_BRIARPICK_USAGE', `${part} is not an address`, { hint: 'write IP numbers and ports, such as 10.0.0.1:7400' })
  })
}

/** Asks one node. */
export async function sendRequest<R> (address: Address, method: string, params: unknown): Promise<R> {
  const client = createRpcClient({ address })
  try {
    return await client.request<R>(method, params, { timeoutMs: TIMEOUT_MS })
  } finally {
    client.close()
  }
}

/** Asks the nodes in turn until the leader answers; a refusal that is no matter of who leads ends it. */
export async function sendToLeader<R> (addresses: readonly Address[], method: string, params: unknown): Promise<R> {
  let last: unknown
  for (let round = 0; round < ROUNDS; round++) {
    for (const address of addresses) {
      try {
        return await sendRequest<R>(address, method, params)
      } catch (err) {
        if (!(err instanceof BriarpickError) || err.code === 'ERR_BRIARPICK_BUNDLE') throw err
        last = err
      }
    }
    await new Promise((resolve) => setTimeout(resolve, ROUND_PAUSE_MS))
  }
  throw last
}
