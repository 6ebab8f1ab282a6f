import { Result } from 'true-myth'
import { expect, test, vi } from 'vitest'
import { BriarpickError } from '@briarpick/error'
import { createSettingsWatcher } from '../src/index.js'

test('a changed file is in force without a signal, and one that cannot be read changes nothing', async () => {
  const broken = new BriarpickError('ERR_BRIARPICK_SETTINGS', 'cannot read it', { hint: 'mend it' })
  let file: Result<string, BriarpickError> = Result.ok('first')
  const complaints: string[] = []
  const settings = createSettingsWatcher({ first: 'first', read: () => file, onError: (err) => complaints.push(err.message), intervalMs: 10 })
  file = Result.ok('second')
  await vi.waitFor(() => expect(settings.current()).toBe('second'), { timeout: 5000 })
  file = Result.err(broken)
  await vi.waitFor(() => expect(complaints).toContain('cannot read it'), { timeout: 5000 })
  expect(settings.current()).toBe('second')
  settings.close()
})

test('a signal has the file read at once', () => {
  let file = 'first'
  const settings = createSettingsWatcher({ first: file, read: () => Result.ok(file), onError: () => {}, intervalMs: 1e6 })
  file = 'second'
  expect(settings.current()).toBe('first')
  settings.reload()
  expect(settings.current()).toBe('second')
  settings.close()
})
