import { expect, test, vi } from 'vitest'
import { type LogPosition } from '@briarpick/types'
import { canServe, chooseReadTarget, type FreshnessRequirement, type ReadCandidate } from '../src/chooseReadTarget.js'
import { createAckHistory } from '../src/createAckHistory.js'
import { createTargetProber } from '../src/createTargetProber.js'
import { type TargetDriver } from '../src/targetDriver.js'

const ACK_INTERVAL_MS = 100
const at = (offset: number): LogPosition => ({ term: 1, offset })

/** A replica that has applied all that it received up to an offset, and so reports no lag. */
const replica = (offset: number, receiveLagMs: number): ReadCandidate => ({
  instance: 'deaf',
  isPrimary: false,
  isLocal: true,
  isFree: true,
  canAcquire: true,
  active: 0,
  slots: 2,
  capacity: 3,
  received: at(offset),
  applied: at(offset),
  lagMs: 0,
  receiveLagMs,
  isHeldBack: false,
  extraMs: 0,
})
const primary: ReadCandidate = { ...replica(50, 0), instance: 'p', isPrimary: true, isLocal: false, active: 1 }

/** Acknowledges offsets 1 to `count`, one for each interval. */
function acknowledge (count: number) {
  const history = createAckHistory()
  history.setFloor(at(0))
  for (let offset = 1; offset <= count; offset += 1) history.record(at(offset), offset * ACK_INTERVAL_MS)
  return history
}

/** What a read with a bound on its age requires at a time, in ms. */
function boundedRead (history: ReturnType<typeof createAckHistory>, maxAgeMs: number, now: number): FreshnessRequirement {
  const required = history.requiredPosition({ current: false, maxAgeMs, seen: null }, now) ?? at(0)
  return { required, requiredAgeMs: history.ageOf(required, now), excluded: new Set() }
}

test('a replica that has received nothing for longer than a read may be old is not sent that read', () => {
  const history = acknowledge(50)
  const deaf = replica(10, history.missingMs(at(10), 5000))
  const read = boundedRead(history, 1500, 5000)
  expect(canServe([deaf], read)).toBe(false)
  expect(chooseReadTarget([deaf, primary], read)?.instance).toBe('p')
})

test('it still gets the reads whose data it has received', () => {
  const history = acknowledge(50)
  const deaf = replica(10, history.missingMs(at(10), 5000))
  expect(chooseReadTarget([deaf, primary], boundedRead(history, 5000, 5000))?.instance).toBe('deaf')
})

test('a replica that receives writes with a delay gets the reads for which that delay has passed', () => {
  const history = acknowledge(50)
  const delayed = replica(46, history.missingMs(at(46), 5000))
  expect(chooseReadTarget([delayed, primary], { required: at(48), requiredAgeMs: 20, excluded: new Set() })?.instance).toBe('p')
  expect(chooseReadTarget([delayed, primary], { required: at(48), requiredAgeMs: 280, excluded: new Set() })?.instance).toBe('deaf')
})

test('what a log lacks is as old as the first acknowledgement that it lacks', () => {
  const history = acknowledge(50)
  expect(history.missingMs(at(50), 5000)).toBe(0)
  expect(history.missingMs(at(51), 5000)).toBe(0)
  expect(history.missingMs(at(49), 5000)).toBe(0)
  expect(history.missingMs(at(49), 5030)).toBe(30)
  expect(history.missingMs(at(10), 5000)).toBe(3900)
})

test('a replica that refused a read as lagging counts as behind until its next status, for which it is asked soon', async () => {
  let missingMs = 0
  const prober = createTargetProber({
    address: { host: '127.0.0.1', port: 1 },
    database: 'd',
    instance: 'deaf',
    driver: statusDriver,
    now: () => performance.now(),
    onStatus: () => {},
    onConnected: () => {},
    onLogShortened: () => {},
    missingMs: () => missingMs,
    isUrgent: () => false,
  })
  const receiveLagMs = () => prober.observation().receiveLagMs
  await vi.waitFor(() => expect(prober.observation().role).toBe('replica'))
  expect(receiveLagMs()).toBe(0)
  missingMs = 700
  prober.recordLacking(500)
  expect(receiveLagMs()).toBe(500)
  await vi.waitFor(() => expect(receiveLagMs()).toBe(700), { timeout: 10_000 })
  missingMs = 0
  await vi.waitFor(() => expect(receiveLagMs()).toBe(0), { timeout: 10_000 })
  prober.close()
})

/** Driver of a replica that answers each command at once. */
const statusDriver: TargetDriver = {
  connect: async () => ({
    kind: 'open',
    link: {
      run: async () => ({ rows: [], signature: null, error: null, state: 'idle', position: at(10) }),
      isOpen: () => true,
      onClose: () => {},
      close: () => {},
    },
  }),
  readStatus: () => ({ role: 'replica', term: 1, received: at(10), lagMs: 0 }),
}
