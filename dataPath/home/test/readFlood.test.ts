import { expect, test } from 'vitest'
import { createPrimaryReserve } from '../src/createPrimaryReserve.js'

const SLOTS = 4

/** Runs writes that keep `writers` slots busy for most of the time, until `endMs`. */
function runWrites (writers: number, endMs: number) {
  const reserve = createPrimaryReserve()
  for (let now = 0; now < endMs; now += 10) {
    for (let i = 0; i < writers; i += 1) reserve.record(1, now)
    for (let i = 0; i < writers; i += 1) reserve.record(-1, now + 9)
  }
  return reserve
}

test('reads leave the slots of the primary free that writes use, less those that writes hold now', () => {
  const reserve = runWrites(2, 5000)
  expect(reserve.reservedSlots(SLOTS, 5000)).toBe(2)
  reserve.record(1, 5000)
  expect(reserve.reservedSlots(SLOTS, 5000)).toBe(1)
  reserve.record(1, 5000)
  expect(reserve.reservedSlots(SLOTS, 5000)).toBe(0)
})

test('without writes, reads may use the whole primary, and with many writes still one slot', () => {
  expect(createPrimaryReserve().reservedSlots(SLOTS, 1000)).toBe(0)
  expect(runWrites(2, 5000).reservedSlots(SLOTS, 10_000)).toBe(0)
  expect(runWrites(6, 5000).reservedSlots(SLOTS, 5000)).toBe(SLOTS - 1)
})

test('a rare write keeps no slot from reads', () => {
  const reserve = createPrimaryReserve()
  for (let now = 0; now < 10_000; now += 1000) {
    reserve.record(1, now)
    reserve.record(-1, now + 10)
  }
  expect(reserve.reservedSlots(SLOTS, 10_000)).toBe(0)
})
