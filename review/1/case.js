// A replica is restarted as planned, and the first packet of the home's connection to it is lost. Then the other replica receives nothing
// for a while, and the primary crashes meanwhile.
import path from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { openSession, startWriter } from '../standIn/client.js'
import { findLostCommits, runCase } from '../standIn/runCase.js'
import { BOUNDS, hostOf, until } from '../standIn/system.js'

/** The home has run for longer than this when the replica is restarted, in ms. */
const HOME_AGE_MS = 31_000
/** Time after which a lost SYN is sent again, in ms. */
const RETRANSMISSION_MS = 1000
/** Time for which the other replica receives nothing before the primary crashes, in ms (replica_lag, how `deaf crash`, for_s up to 7). */
const DEAF_BEFORE_CRASH_MS = 2500
const WRITERS = 4

await runCase({
  recordFile: path.join(import.meta.dirname, 'record.txt'),
  async play ({ system, database, record, service, trouble }) {
    const isLossy = trouble === 'all' || trouble === 'lossy'
    const hasCrash = trouble === 'all' || trouble === 'crash'
    const [primary, other, restarted] = database.instances
    const host = hostOf('primary', service)
    const hosts = system.machines.map((machine) => machine.host)
    await until(async () => {
      const session = await openSession(hosts[0], host).catch(() => undefined)
      const answer = await session?.query('WRITE first 1')
      session?.close()
      return answer?.error === null
    }, 15_000, 'a write succeeds')
    const servesSince = performance.now()
    const writers = Array.from({ length: WRITERS }, (_, i) =>
      startWriter({ hosts: [...hosts.slice(i), ...hosts.slice(0, i)], database: host, name: `w${i}`, pauseMs: 40, record }))

    // The planned restart: it reports that it leaves, serves on for drain_ms, says goodbye, and starts again under its id.
    await sleep(Math.max(0, HOME_AGE_MS - BOUNDS.drain_ms))
    restarted.state = 'draining'
    record(`${restarted.id} is draining`)
    await restarted.heartbeat()
    await sleep(BOUNDS.drain_ms)
    await restarted.withdraw()
    restarted.crash({ keepsLog: false })
    await sleep(500)
    record(`the home has served for ${Math.round(performance.now() - servesSince)} ms`)
    if (isLossy) {
      restarted.delayOf = (connection) => connection === 1 ? RETRANSMISSION_MS : 0
      record(`the first packet of the first connection to ${restarted.id} will be lost once`)
    }
    const copied = restarted.follow()
    await restarted.start()
    await copied
    await sleep(700)

    if (hasCrash) {
      other.isDeaf = true
      record(`${other.id} receives nothing from here on, its last position is ${other.log.at(-1)?.number}`)
    }
    await sleep(DEAF_BEFORE_CRASH_MS)
    if (hasCrash) primary.crash()
    await sleep(5000)
    for (const writer of writers) await writer.stop()
    for (const line of system.events('control', 'targetAnnounced', 'targetWithdrawn', 'removeTarget', 'promotionAttempted')) record(`control: ${JSON.stringify({ ...line, machine: undefined })}`)
    for (const line of system.events('proxy', 'primaryDecision', 'promotionRequested')) record(`home: ${JSON.stringify({ ...line, machine: undefined })}`)

    const outcomes = writers.flatMap((writer) => writer.outcomes)
    const done = outcomes.filter(({ outcome }) => outcome === 'done')
    record(`${done.length} writes were acknowledged, ${database.promotions.length} promotions took effect`)
    return database.promotions.flatMap((promotion) => {
      const lost = findLostCommits(promotion, outcomes)
      for (const { id, item } of lost) record(`LOST: the acknowledged ${id} WRITE ${item} is not in the log of ${promotion.id}`)
      return lost.length === 0 ? [] : [`LOST: ${lost.length} acknowledged commits are not in the log of ${promotion.id}, which was promoted`]
    })
  },
})
