import { expect, test } from 'vitest'
import { createKernel } from '../src/index.js'

test('services look each other up by name and are closed once, in reverse start order', async () => {
  const closed: string[] = []
  const service = (name: string) => ({ name, close: async () => { closed.push(name) } })
  const kernel = createKernel()
  await kernel.start('a', () => service('a'))
  await kernel.start('b', (registry) => ({ ...service('b'), other: registry.get<ReturnType<typeof service>>('a').name }))
  expect(kernel.find('c')).toBeUndefined()
  expect(() => kernel.get('c')).toThrow(/service c is not started/)
  await expect(kernel.start('a', () => service('a'))).rejects.toThrow(/already started/)
  await Promise.all([kernel.close(), kernel.close()])
  expect(closed).toEqual(['b', 'a'])
})
