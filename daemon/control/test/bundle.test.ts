import { afterAll, beforeAll, expect, test } from 'vitest'
import { generateSignerKeys, signBundle } from '@briarpick/bundle'
import { createRpcClient } from '@briarpick/rpc'
import { startSystem, type System } from '@briarpick/harness'

let system: System

beforeAll(async () => {
  system = await startSystem({ proxies: 4 })
})

afterAll(async () => {
  await system.close()
})

async function untilAllHaveVersion (version: number, timeoutMs = 5000): Promise<void> {
  await system.waitForStatus(`version ${version} on all proxies`, ({ proxies }) => {
    const live = proxies.filter((proxy) => proxy.live)
    return live.length === 4 && live.every((proxy) => proxy.bundleVersion === version)
  }, timeoutMs)
}

test('one of two bundles submitted concurrently with the same version is accepted, resubmitting it is idempotent, and an older one is rejected', async () => {
  const texts = ['version = 10\n# one\n', 'version = 10\n# two\n']
  const verdicts = await Promise.all(texts.map((text) => system.submitBundle(text)))
  expect(verdicts.map(({ kind }) => kind).sort()).toEqual(['accepted', 'refusedConflict'])
  const winner = texts[verdicts.findIndex(({ kind }) => kind === 'accepted')]
  expect(await system.submitBundle(winner)).toMatchObject({ kind: 'alreadyAccepted', version: 10 })
  expect(await system.submitBundle('version = 9\n')).toMatchObject({ kind: 'refusedOlder', holdingVersion: 10 })
  await untilAllHaveVersion(10)
})

test('a bundle with an invalid signature, an unknown signer or a malformed body is rejected, and the accepted bundle stays', async () => {
  const leader = (await system.status()).agreement.leader?.split(':')[0]
  const control = system.controls.find(({ name }) => name === leader)
  const client = createRpcClient({ address: control?.address ?? system.controlAddresses[0] })
  const badSignature = signBundle('version = 20\n', 'Ana Pérez', generateSignerKeys().privateKey).unwrapOr(undefined)
  const unknownSigner = signBundle('version = 20\n', 'Eve', system.keys.privateKey).unwrapOr(undefined)
  for (const bundle of [badSignature, unknownSigner, { version: 20 }, 'x', null]) {
    await expect(client.request('bundle.submit', { bundle }, { timeoutMs: 2000 })).rejects.toBeInstanceOf(Error)
  }
  client.close()
  expect((await system.status()).bundleVersion).toBe(10)
})

test('a proxy restarted during hundreds of changes catches up, and no proxy returns to an older version', async () => {
  const highest = new Map<string, number>()
  const regressions: string[] = []
  const poll = setInterval(() => {
    system.status().then(({ proxies }) => {
      for (const { proxy, bundleVersion } of proxies) {
        if (bundleVersion < (highest.get(proxy) ?? 0)) regressions.push(proxy)
        highest.set(proxy, bundleVersion)
      }
    }, () => {})
  }, 50)
  for (let version = 11; version <= 310; version++) {
    await system.submitBundle(`version = ${version}\n`)
    if (version === 200) await system.restartDaemon(system.proxies[3])
  }
  await untilAllHaveVersion(310)
  clearInterval(poll)
  expect(regressions).toEqual([])
})

test('a partitioned leader cannot accept a bundle, and it catches up once the partition has healed', async () => {
  const leaderName = (await system.status()).agreement.leader?.split(':')[0]
  const leader = system.controls.find(({ name }) => name === leaderName) as System['controls'][number]
  const others = system.controls.filter((control) => control !== leader)
  const leaderLinks = [
    ...leader.controlFaultProxies.values(),
    ...others.flatMap((other) => other.controlFaultProxies.get(leader.name) ?? []),
  ]
  for (const fault of leaderLinks) fault.set({ cut: true })
  const client = createRpcClient({ address: leader.address })
  const bundle = signBundle('version = 999\n', 'Ana Pérez', system.keys.privateKey).unwrapOr(undefined)
  await expect(client.request('bundle.submit', { bundle }, { timeoutMs: 6000 })).rejects.toBeInstanceOf(Error)
  await system.waitForStatus('another leader', ({ agreement }) => !agreement.leader?.startsWith(`${leader.name}:`))
  await expect.poll(async () => await system.submitBundle('version = 400\n').then(({ kind }) => kind, () => 'failed'), { timeout: 10_000 }).toMatch(/ccepted/)
  await untilAllHaveVersion(400)
  for (const fault of leaderLinks) fault.set({ cut: false })
  await expect.poll(async () => (await client.request<{ bundleVersion: number }>('control.status', {}, { timeoutMs: 2000 })).bundleVersion, { timeout: 10_000 }).toBe(400)
  client.close()
  await untilAllHaveVersion(400)
})
