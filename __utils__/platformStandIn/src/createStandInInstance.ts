import net, { type Socket } from 'node:net'
import split2 from 'split2'
import { type Address, formatAddress } from '@briarpick/types'
import { type StandInCommit, type StandInGroup } from './createStandInGroup.js'
import { serveWire } from './serveWire.js'

/** A stand-in instance that serves the platform's wire protocol. */
export interface StandInInstance {
  readonly id: string
  readonly address: string
  readonly slots: number
  isRunning: () => boolean
  isPrimary: () => boolean
  /** Latest term that it knows. */
  heldTerm: () => number
  /** Commits in its log. */
  received: () => readonly StandInCommit[]
  /** Commits that reads see. */
  applied: () => readonly StandInCommit[]
  /** Appends a commit of this instance to its log, as the primary. */
  append: (commit: Pick<StandInCommit, 'id' | 'writes'>) => StandInCommit
  /** Receives a commit and applies it after a delay in ms, in log order; false if it is not a running replica in the sender's term. */
  receive: (commit: StandInCommit, from: StandInInstance, applyMs: number) => boolean
  /** Time until all received commits are applied, in ms. */
  lagMs: () => number
  becomePrimary: (term: number) => void
  /** Becomes a replica with a copy of the primary's log. */
  follow: (primary: StandInInstance) => void
  stepDown: () => void
  onStop: (listener: () => void) => void
  /** Closes all connections at once, as a crash does. */
  stop: () => Promise<void>
  /** Number of executions of each statement, by statement id. */
  readonly ran: Map<string, number>
  /** Name with which the connection was opened on which each statement ran last, by statement id. */
  readonly ranFor: Map<string, string>
}

/** Options of an instance. */
export interface StandInInstanceOptions {
  readonly id: string
  readonly address: Address
  readonly group: StandInGroup
  readonly isPrimary: boolean
  readonly slots: number
}

/** Starts an instance. Rejects if its address is in use. */
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
    ranFor: new Map(),
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
