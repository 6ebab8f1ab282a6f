import path from 'node:path'
import { spawnSync } from 'node:child_process'
import { expect, test } from 'vitest'
import { createErrorGuard } from '../src/index.js'

const LIBRARY = path.join(import.meta.dirname, '../lib/index.js')

function runScript (script: string) {
  return spawnSync(process.execPath, ['--input-type=module', '-e', `import { createErrorGuard } from ${JSON.stringify(LIBRARY)}\n${script}`], { encoding: 'utf8' })
}

test('an exception in a timer, a socket callback and a rejected promise end neither the process nor its other work', () => {
  const { status, stdout } = runScript(`
    import net from 'node:net'
    const guard = createErrorGuard({ onError: (err) => console.log('caught ' + err.message), onTooMany: () => process.exit(3) })
    guard.install()
    setTimeout(() => { throw new Error('timer') }, 1)
    Promise.reject(new Error('rejection'))
    const server = net.createServer(() => { throw new Error('socket') })
    server.listen(0, '127.0.0.1', () => net.connect(server.address().port, '127.0.0.1'))
    setTimeout(() => { console.log('still working'); process.exit(0) }, 200)
  `)
  expect(status).toBe(0)
  expect(stdout.split('\n').filter(Boolean).sort()).toEqual(['caught rejection', 'caught socket', 'caught timer', 'still working'])
})

test('without a guard, one exception ends the process', () => {
  expect(runScript('setTimeout(() => { throw new Error("timer") }, 1); setTimeout(() => process.exit(0), 200)').status).toBe(1)
})

test('a process whose errors keep coming ends, one with an error now and then does not', () => {
  let now = 0
  const errors: unknown[] = []
  let tooMany = 0
  const guard = createErrorGuard({ now: () => now, onError: (err) => errors.push(err), onTooMany: () => { tooMany += 1 } })
  for (let i = 0; i < 100; i += 1) {
    guard.handle(new Error('now and then'))
    now += 1000
  }
  expect(tooMany).toBe(0)
  expect(errors).toHaveLength(100)
  for (let i = 0; i < 20; i += 1) guard.handle(new Error('again'))
  expect(tooMany).toBeGreaterThan(0)
})
