import { expect, test } from 'vitest'
import { createCommitLimit } from '../src/createCommitLimit.js'

const SLOTS = 2

/** A primary that has answered a commit. */
function createUsedLimit () {
  const limit = createCommitLimit({ hasReceivingReplica: () => false })
  limit.track(0)(true, 10)
  return limit
}

test('while replicas receive nothing, reads keep all slots of the primary but those of the commits that were sent before it showed', () => {
  const limit = createUsedLimit()
  let sent = 0
  for (let now = 1000; now < 1700; now += 10) {
    if (!limit.hasRoom(SLOTS, now)) continue
    limit.track(now)
    sent += 1
    now += 40
  }
  expect(sent).toBe(1)
})

test('commits that are answered in time are not limited', () => {
  const limit = createUsedLimit()
  for (let now = 1000; now < 3000; now += 20) {
    expect(limit.hasRoom(SLOTS, now)).toBe(true)
    const end = limit.track(now)
    expect(limit.hasRoom(SLOTS, now + 5)).toBe(true)
    limit.track(now + 5)(true, now + 15)
    end(true, now + 19)
  }
})

test('a primary with more slots gets commits in all of them but one while it waits for its replicas', () => {
  const limit = createUsedLimit()
  for (let i = 0; i < 3; i += 1) {
    expect(limit.hasRoom(4, 1000 + 100 * i)).toBe(true)
    limit.track(1000 + 100 * i)
  }
  expect(limit.hasRoom(4, 1400)).toBe(false)
})

test('a new primary gets one commit, and the next ones once it has answered that', () => {
  const limit = createUsedLimit()
  limit.onPrimaryChange()
  expect(limit.hasRoom(SLOTS, 1000)).toBe(true)
  const end = limit.track(1000)
  expect(limit.hasRoom(SLOTS, 1001)).toBe(false)
  end(true, 1030)
  limit.track(1031)
  expect(limit.hasRoom(SLOTS, 1032)).toBe(true)
})

test('a commit without an answer makes room for the next one when it ends', () => {
  const limit = createUsedLimit()
  const end = limit.track(1000)
  expect(limit.hasRoom(SLOTS, 1100)).toBe(false)
  end(false, 1600)
  expect(limit.hasRoom(SLOTS, 1600)).toBe(true)
})

test('a primary with one slot gets one commit at a time', () => {
  const limit = createUsedLimit()
  const end = limit.track(1000)
  expect(limit.hasRoom(1, 1100)).toBe(false)
  end(true, 1200)
  expect(limit.hasRoom(1, 1200)).toBe(true)
})

test('a commit whose answer is lost limits nothing once a later one has been answered', () => {
  const limit = createUsedLimit()
  limit.track(1000)
  limit.track(1020)(true, 1035)
  expect(limit.hasRoom(SLOTS, 1500)).toBe(true)
  limit.track(1500)
  expect(limit.hasRoom(SLOTS, 1510)).toBe(true)
  expect(limit.hasRoom(SLOTS, 1560)).toBe(false)
})

test('while a replica receives, a commit without an answer limits nothing', () => {
  let isReceiving = true
  const limit = createCommitLimit({ hasReceivingReplica: () => isReceiving })
  limit.track(1000)
  expect(limit.hasRoom(SLOTS, 1500)).toBe(true)
  isReceiving = false
  expect(limit.hasRoom(SLOTS, 1500)).toBe(false)
})

test('commits that were sent to the previous primary count neither as waiting nor as answered', () => {
  const limit = createUsedLimit()
  const end = limit.track(1000)
  limit.onPrimaryChange()
  expect(limit.hasRoom(SLOTS, 1500)).toBe(true)
  limit.track(1500)
  end(true, 1510)
  expect(limit.hasRoom(SLOTS, 1520)).toBe(false)
})
