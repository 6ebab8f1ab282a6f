import fs from 'node:fs'
import path from 'node:path'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { type DaemonProcess, startSystem, type System } from '@briarpick/harness'

let system: System

beforeEach(async () => {
  system = await startSystem({ proxies: 2, bundle: 'version = 1\n' })
})

afterEach(async () => {
  await system.close()
})

async function restartWithoutDisk (control: DaemonProcess): Promise<void> {
  control.process.kill('SIGKILL')
  await control.process.exited
  fs.rmSync(control.dataFolder, { recursive: true, force: true })
  await system.restartDaemon(control)
}

async function untilVoterAgain (control: DaemonProcess): Promise<void> {
  await system.waitForStatus(`${control.name} is a voter with a new identity`, ({ agreement }) =>
    agreement.voters.voters.length === 3 && agreement.voters.voters.some((id) => id.startsWith(`${control.name}:`) && !id.endsWith(':first')))
}

test('a node that lost its disk becomes a voter again, and nothing is lost if the other nodes lose theirs one after another', async () => {
  const [first, second, third] = system.controls
  await system.submitBundle('version = 2\n')
  await restartWithoutDisk(first)
  await untilVoterAgain(first)
  await system.submitBundle('version = 3\n')
  await restartWithoutDisk(second)
  await untilVoterAgain(second)
  await restartWithoutDisk(third)
  await untilVoterAgain(third)
  const status = await system.status()
  expect(status.bundleVersion).toBe(3)
  expect(status.views[0]).toMatchObject({ state: 'open', term: 1 })
})

test('with two of three nodes down there is no leader, and the return of one restores service', async () => {
  const [first, second] = system.controls
  for (const control of [first, second]) {
    control.process.kill('SIGKILL')
    await control.process.exited
  }
  await expect.poll(async () => await system.status().then(() => 'leads', () => 'none'), { timeout: 10_000 }).toBe('none')
  await system.restartDaemon(second)
  await system.waitForStatus('a new leader', () => true)
  expect((await system.submitBundle('version = 2\n')).kind).toBe('accepted')
})

test('a node whose log ends in a torn record starts, and one whose log is damaged exits with a remedy', async () => {
  const control = system.controls.find(({ name }) => !name.startsWith('none')) as DaemonProcess
  const file = path.join(control.dataFolder, 'log')
  control.process.kill('SIGKILL')
  await control.process.exited
  fs.truncateSync(file, fs.statSync(file).size - 3)
  await system.restartDaemon(control)
  await system.submitBundle('version = 2\n')
  control.process.kill('SIGKILL')
  await control.process.exited
  const bytes = fs.readFileSync(file)
  bytes[40] ^= 255
  fs.writeFileSync(file, bytes)
  await expect(system.restartDaemon(control)).rejects.toThrow(/ended with 1/)
  expect(fs.readFileSync(path.join(system.folder, `${control.name}.log`), 'utf8')).toMatch(/ERR_BRIARPICK_LOG_DAMAGED[\s\S]*remedy: move the data folder away/)
  fs.rmSync(control.dataFolder, { recursive: true })
  await system.restartDaemon(control)
  await untilVoterAgain(control)
  expect((await system.status()).bundleVersion).toBe(2)
})
