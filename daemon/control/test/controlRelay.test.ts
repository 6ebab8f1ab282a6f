import { afterEach, expect, test } from 'vitest'
import { type Address } from '@briarpick/types'
import { BriarpickError } from '@briarpick/error'
import { createRpcServer, type RpcServer } from '@briarpick/rpc'
import { createControlRelay, type ControlRelay } from '../src/createControlRelay.js'

let server: RpcServer | undefined
let relay: ControlRelay | undefined

afterEach(async () => {
  relay?.close()
  await server?.close()
})

/** Starts a leader that refuses the requests `invalid`, fails the requests `failing` and answers the others; counts the searches for it. */
async function startLeader () {
  let searches = 0
  const handlers = {
    invalid: () => { throw new BriarpickError('ERR_BRIARPICK_USAGE', 'no such target', { hint: 'name one' }) },
    failing: () => { throw new BriarpickError('ERR_BRIARPICK_NOT_LEADER', 'not any more', { hint: 'ask another node' }) },
    valid: () => true,
  }
  server = await createRpcServer({ listen: { host: '127.0.0.1', port: 0 }, handlers })
  let { address } = server
  relay = createControlRelay({
    async findLeader (failed) {
      if (failed !== undefined) searches += 1
      return address
    },
  })
  return { relay, searches: () => searches, moveTo: (next: Address) => { address = next } }
}

// Guards against machines that stop following the list of targets: each odd entry had its daemon search for the leader again.
test('a request that the leader refuses as invalid does not make the relay search for the leader again', async () => {
  const { relay, searches } = await startLeader()
  expect(await relay.request('valid', {})).toBe(true)
  for (let i = 0; i < 3; i += 1) await expect(relay.request('invalid', {})).rejects.toMatchObject({ code: 'ERR_BRIARPICK_USAGE' })
  expect(await relay.request('valid', {})).toBe(true)
  expect(searches()).toBe(0)
  await expect(relay.request('failing', {})).rejects.toMatchObject({ code: 'ERR_BRIARPICK_NOT_LEADER' })
  expect(await relay.request('valid', {})).toBe(true)
  expect(searches()).toBe(1)
  expect(await relay.request('valid', {})).toBe(true)
  expect(searches()).toBe(1)
})

// Guards against a refusal by each daemon at its first request after a change of leader: the relay kept the leader that it had found.
test('a request after a change of leader goes to the new leader at once', async () => {
  const { relay: current, moveTo } = await startLeader()
  expect(await current.request('valid', {})).toBe(true)
  const successor = await createRpcServer({ listen: { host: '127.0.0.1', port: 0 }, handlers: { valid: () => 'successor' } })
  moveTo(successor.address)
  expect(await current.request('valid', {})).toBe('successor')
  await successor.close()
})
