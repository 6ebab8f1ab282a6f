import net, { type Socket } from 'node:net'
import split2 from 'split2'
import { type Address, formatAddress } from '@briarpick/types'
import { type StandInCommit, type StandInGroup } from './createStandInGroup.js'
import { serveWire } from './serveWire.js'

/** A stand-in instance that speaks the platform's wire. */
export interface StandInInstance {
  readonly id: string
  readonly address: string
  readonly slots: number
  isRunning: () => boolean
  isPrimary: () => boolean
  heldTerm: () => number
  received: () => readonly StandInCommit[]
  applied: () => readonly StandInCommit[]
  /** Adds a commit of its own. */
  append: (commit: Pick<StandInCommit, 'id' | 'writes'>) => StandInCommit
  /** Takes a commit of its primary and applies it after a time in ms, in order; false if it follows another. */
  receive: (commit: StandInCommit, from: StandInInstance, applyMs: number) => boolean
  /** Time until all that it received is applied, in ms. */
  lagMs: () => number
  lead: (term: number) => void
  follow: (leader: StandInInstance) => void
  stepDown: () => void
  onStop: (listener: () => void) => void
  /** Ends at once, as in a crash. */
  stop: () => Promise<void>
  /** Statements that ran, by the caller's id. */
  readonly ran: Map<string, number>
}

/** Options of an instance. */
export interface StandInInstanceOptions {
  readonly id: string
  readonly address: Address
  readonly group: StandInGroup
  readonly leads: boolean
  readonly slots: number
}

/** Starts an instance. */
export async function createStandInInstance (opts: StandInInstanceOptions): Promise<StandInInstance> {
  const sockets = new Set<Socket>()
  const listeners = new Set<() => void>()
  let log: StandInCommit[] = []
  let applied = 0
  let appliesBy = -Infinity
  let leads = opts.leads
  let term = 1
  let running = true

  const server = net.createServer((socket) => {
    sockets.add(socket)
    const end = serveWire(instance, opts.group, socket)
    socket.on('error', () => socket.destroy())
    socket.on('close', () => {
      sockets.delete(socket)
      end.close()
    })
    socket.pipe(split2('\r\n')).on('data', (line: string) => end.take(line))
  })

  const instance: StandInInstance = {
    id: opts.id,
    address: formatAddress(opts.address),
    slots: opts.slots,
    ran: new Map(),
    isRunning: () => running,
    isPrimary: () => leads,
    heldTerm: () => term,
    received: () => log,
    applied: () => leads ? log : log.slice(0, applied),
    append (commit) {
      const entry = { ...commit, term, number: (log.at(-1)?.number ?? 0) + 1 }
      log.push(entry)
      return entry
    },
    receive (commit, from, applyMs) {
      if (!running || leads || from.heldTerm() !== term) return false
      log.push(commit)
      const now = performance.now()
      appliesBy = Math.max(appliesBy, now + applyMs)
      setTimeout(() => { applied = Math.max(applied, log.indexOf(commit) + 1) }, appliesBy - now).unref()
      return true
    },
    lagMs: () => Math.max(0, Math.round(appliesBy - performance.now())),
    lead (next) {
      leads = true
      term = next
      applied = log.length
      appliesBy = -Infinity
    },
    follow (leader) {
      leads = false
      term = leader.heldTerm()
      log = [...leader.received()]
      applied = log.length
      appliesBy = -Infinity
    },
    stepDown () {
      leads = false
    },
    onStop: (listener) => { listeners.add(listener) },
    async stop () {
      running = false
      for (const listener of listeners) listener()
      for (const socket of sockets) socket.resetAndDestroy()
      await new Promise((resolve) => server.close(resolve))
    },
  }
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(opts.address.port, opts.address.host, resolve)
  })
  return instance
}
