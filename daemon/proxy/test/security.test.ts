import fs from 'node:fs'
import os from 'node:os'
import path from 'node:path'
import pg from 'pg'
import { generate } from 'selfsigned'
import { afterAll, beforeAll, expect, test } from 'vitest'
import { startSystem, type System } from '@briarpick/harness'

let system: System
let folder: string

beforeAll(async () => {
  folder = fs.mkdtempSync(path.join(os.tmpdir(), 'briarpick-tls-'))
  const { private: key, cert } = await generate([{ name: 'commonName', value: 'localhost' }], { keySize: 2048 })
  const certificateFile = path.join(folder, 'certificate.pem')
  const keyFile = path.join(folder, 'key.pem')
  fs.writeFileSync(certificateFile, cert)
  fs.writeFileSync(keyFile, key)
  system = await startSystem({
    proxies: 2,
    callerSettings: [`tls_certificate = "${certificateFile}"`, `tls_key = "${keyFile}"`, 'require_tls = true', 'passwords = { clerk = "s3cret" }'],
  })
})

afterAll(async () => {
  await system.close()
  fs.rmSync(folder, { recursive: true, force: true })
})

function clientOf (opts: pg.ClientConfig): pg.Client {
  const client = new pg.Client({ ...system.proxies[0].callers, database: 'ledger', ...opts })
  client.on('error', () => {})
  return client
}

test('a caller with the correct password over TLS is served', async () => {
  const client = clientOf({ user: 'clerk', password: 's3cret', ssl: { rejectUnauthorized: false } })
  await client.connect()
  const mark = 'x'.repeat(100_000)
  expect((await client.query('SELECT $1::text AS mark', [mark])).rows).toEqual([{ mark }])
  await client.end()
})

test.each([
  ['a wrong password', { user: 'clerk', password: 'wrong', ssl: { rejectUnauthorized: false } }],
  ['an unknown user', { user: 'nobody', password: 's3cret', ssl: { rejectUnauthorized: false } }],
])('%s is rejected', async (_what, opts) => {
  await expect(clientOf(opts).connect()).rejects.toMatchObject({ code: '28000' })
})

test('a caller without TLS is rejected with a hint', async () => {
  await expect(clientOf({ user: 'clerk', password: 's3cret' }).connect()).rejects.toMatchObject({ code: '28000', hint: expect.stringContaining('sslmode') })
})
