import { Result } from 'true-myth'
import { expect, test, vi } from 'vitest'
import { BriarpickError } from '@briarpick/error'
import { createSettingsWatcher } from '../src/index.js'

test('a changed file takes effect without a signal, and a file that cannot be read leaves the current settings in force', async () => {
  const readError = new BriarpickError('ERR_BRIARPICK_SETTINGS', 'cannot read it', { hint: 'correct the file' })
  let file: Result<string, BriarpickError> = Result.ok('first')
  const errors: string[] = []
  const watcher = createSettingsWatcher({ first: 'first', read: () => file, onError: (err) => errors.push(err.message), intervalMs: 10 })
  file = Result.ok('second')
  await vi.waitFor(() => expect(watcher.current()).toBe('second'), { timeout: 5000 })
  file = Result.err(readError)
  await vi.waitFor(() => expect(errors).toContain('cannot read it'), { timeout: 5000 })
  expect(watcher.current()).toBe('second')
  watcher.close()
})

test('reload reads the file immediately', () => {
  let file = 'first'
  const watcher = createSettingsWatcher({ first: file, read: () => Result.ok(file), onError: () => {}, intervalMs: 1e6 })
  file = 'second'
  expect(watcher.current()).toBe('first')
  watcher.reload()
  expect(watcher.current()).toBe('second')
  watcher.close()
})
