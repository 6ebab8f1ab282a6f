import { afterEach, expect, test } from 'vitest'
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
    'control.leader': () => {
      searches += 1
      return { leader: server?.address ?? null, controls: [] }
    },
    invalid: () => { throw new BriarpickError('ERR_BRIARPICK_USAGE', 'no such target', { hint: 'name one' }) },
    failing: () => { throw new BriarpickError('ERR_BRIARPICK_NOT_LEADER', 'not any more', { hint: 'ask another node' }) },
    valid: () => true,
  }
  server = await createRpcServer({ listen: { host: '127.0.0.1', port: 0 }, handlers })
  const { address } = server
  relay = createControlRelay({ contacts: () => [address], self: { host: '127.0.0.1', port: 1 } })
  return { relay, searches: () => searches }
}

// Guards against machines that stop following the list of targets: each odd entry had its daemon search for the leader again.
test('a request that the leader refuses as invalid does not make the relay search for the leader again', async () => {
  const { relay, searches } = await startLeader()
  expect(await relay.request('valid', {})).toBe(true)
  for (let i = 0; i < 3; i += 1) await expect(relay.request('invalid', {})).rejects.toMatchObject({ code: 'ERR_BRIARPICK_USAGE' })
  expect(await relay.request('valid', {})).toBe(true)
  expect(searches()).toBe(1)
  await expect(relay.request('failing', {})).rejects.toMatchObject({ code: 'ERR_BRIARPICK_NOT_LEADER' })
  expect(await relay.request('valid', {})).toBe(true)
  expect(searches()).toBe(2)
})
