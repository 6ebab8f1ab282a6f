// Traffic of clients: single operations, each in a session of its own, at the daemons that the platform has in rotation.
import { setTimeout as sleep } from 'node:timers/promises'
import { openSession } from './client.js'
import { PORTS, statusOf } from './system.js'

const CHECK_MS = 1000
/** Pause of a client between two operations, in ms. */
const PAUSE_MS = 50

/**
 * Starts clients that write and read by turns. The platform asks each daemon once a second whether it is ready; new connections go to those
 * that are, or to all if none is. `served` tells how many operations sent in a span of time (of `performance.now`) succeeded.
 */
export function startTraffic ({ hosts, services, clients = 6 }) {
  const sent = []
  let rotation = hosts
  let running = true
  let turn = 0

  async function keepRotation () {
    while (running) {
      const ready = await Promise.all(hosts.map(async (host) => await statusOf(`http://${host}:${PORTS.readiness}/-/readyz`) === 200))
      const inRotation = hosts.filter((_, i) => ready[i])
      rotation = inRotation.length > 0 ? inRotation : hosts
      await sleep(CHECK_MS)
    }
  }

  async function runOperation (database, text) {
    const operation = { at: performance.now(), isServed: false }
    sent.push(operation)
    turn += 1
    const session = await openSession(rotation[turn % rotation.length], database).catch((err) => { operation.error = err.message })
    if (session === undefined) return
    const reply = await session.query(text)
    operation.isServed = reply.error === undefined
    operation.error = reply.error
    session.close()
  }

  async function runClient (number) {
    for (let i = 0; running; i += 1) {
      const service = services[(number + i) % services.length]
      await (i % 2 === 0 ? runOperation(`primary-${service}`, `WRITE k${number}.${i} d`) : runOperation(`read_your_writes-${service}`, `READ k${number}.${i - 1}`))
      await sleep(PAUSE_MS)
    }
  }

  const ended = [keepRotation(), ...Array.from({ length: clients }, (_, i) => runClient(i))]
  return {
    served (from, until) {
      const span = sent.filter(({ at }) => at >= from && at < until)
      const errors = {}
      for (const { error } of span) if (error !== undefined) errors[error] = (errors[error] ?? 0) + 1
      return { sent: span.length, served: span.filter(({ isServed }) => isServed).length, errors }
    },
    async stop () {
      running = false
      await Promise.all(ended)
    },
  }
}
