import { expect, test } from 'vitest'
import { createOverloadMonitor } from '../src/createOverloadMonitor.js'

function monitorAfter (latenesses: readonly number[]) {
  const monitor = createOverloadMonitor()
  for (const lateMs of latenesses) monitor.recordTick(lateMs)
  return monitor
}

const ON_TIME = Array.from({ length: 10 }, () => 2)

test('a VM that has become slow, so that every timer runs late, counts as overloaded, and no longer once timers are on time', () => {
  const slow = Array.from({ length: 10 }, () => 120)
  expect(monitorAfter([...ON_TIME, ...slow]).isOverloaded()).toBe(true)
  expect(monitorAfter([...slow, ...ON_TIME]).isOverloaded()).toBe(false)
})

test('a pause of any length, such as a suspension of the VM, is no overload, nor is a burst of work or a process that has just started', () => {
  expect(monitorAfter([...ON_TIME, 8000]).isOverloaded()).toBe(false)
  expect(monitorAfter([...ON_TIME, 8000, 200, 30, 5]).isOverloaded()).toBe(false)
  expect(monitorAfter([200, 200, 200, 200]).isOverloaded()).toBe(false)
  expect(monitorAfter([...ON_TIME, 30, 30, 30, 30, 30, 30, 30, 30, 30, 30]).isOverloaded()).toBe(false)
})
