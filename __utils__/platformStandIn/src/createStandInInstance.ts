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
  becomePrimary: (term: number) => void
  follow: (primary: StandInInstance) => void
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
  readonly isPrimary: boolean
  readonly slots: number
}

/** Starts an instance. */
export async function createStandInInstance (opts: StandInInstanceOptions): Promise<StandInInstance> {
  const sockets = new Set<Socket>()
  const listeners = new Set<() => void>()
  let log: StandInCommit[] = []
  let applied = 0
  let appliedUntil = -Infinity
  let isPrimary = opts.isPrimary
  let term = 1
  let running = true

  const server = net.createServer((socket) => {
    sockets.add(socket)
    const connection = serveWire(instance, opts.group, socket)
    socket.on('error', () => socket.destroy())
    socket.on('close', () => {
      sockets.delete(socket)
      connection.close()
    })
    socket.pipe(split2('\r\n')).on('data', (line: string) => connection.handleLine(line))
  })

  const instance: StandInInstance = {
    id: opts.id,
    address: formatAddress(opts.address),
    slots: opts.slots,
    ran: new Map(),
    isRunning: () => running,
    isPrimary: () => isPrimary,
    heldTerm: () => term,
    received: () => log,
    applied: () => isPrimary ? log : log.slice(0, applied),
    append (commit) {
      const entry = { ...commit, term, number: (log.at(-1)?.number ?? 0) + 1 }
      log.push(entry)
      return entry
    },
    receive (commit, from, applyMs) {
      if (!running || isPrimary || from.heldTerm() !== term) return false
      log.push(commit)
      const now = performance.now()
      appliedUntil = Math.max(appliedUntil, now + applyMs)
      setTimeout(() => { applied = Math.max(applied, log.indexOf(commit) + 1) }, appliedUntil - now).unref()
      return true
    },
    lagMs: () => Math.max(0, Math.round(appliedUntil - performance.now())),
    becomePrimary (next) {
      isPrimary = true
      term = next
      applied = log.length
      appliedUntil = -Infinity
    },
    follow (primary) {
      isPrimary = false
      term = primary.heldTerm()
      log = [...primary.received()]
      applied = log.length
      appliedUntil = -Infinity
    },
    stepDown () {
      isPrimary = false
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
