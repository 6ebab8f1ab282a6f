import net, { type Socket } from 'node:net'
import { type Address, formatAddress } from '@briarpick/types'
import { type StandInCommit, type StandInGroup } from './createStandInGroup.js'
import { serveWire } from './serveWire.js'
import { type ChooseFault, type StandInFault, type StandInRun } from './standInRun.js'
import { readLines } from './wireLines.js'

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
  /** Starts again with the log that it had, as the primary unless another instance was promoted. */
  restart: () => Promise<void>
  /** Time of its last start, in Unix ms. */
  bornMs: () => number
  /** Sets the faults of the commands that it handles from now on; undefined for none. */
  setFaults: (choose: ChooseFault | undefined) => void
  /** Returns the fault of the next command. */
  chooseFault: (verb: string) => StandInFault | undefined
  /** Records a statement that ran on a connection, which was opened under the name of a peer. Returns the signature of the run. */
  recordRun: (run: Omit<StandInRun, 'instance' | 'signature' | 'ranAtMs'>, peer: string) => string
  /** Statements that ran, in order. */
  readonly runs: readonly StandInRun[]
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
  let bornMs = Date.now()
  let connections = 0
  let choose: ChooseFault | undefined
  const runs: StandInRun[] = []

  const server = net.createServer((socket) => {
    sockets.add(socket)
    connections += 1
    const openedIn = bornMs
    const isServing = () => running && bornMs === openedIn
    const connection = serveWire({ instance, group: opts.group, socket, connection: connections, isServing })
    socket.on('error', () => socket.destroy())
    socket.on('close', () => {
      sockets.delete(socket)
      connection.close()
    })
    readLines(socket, connection.handleLine)
  })

  const instance: StandInInstance = {
    id: opts.id,
    address: formatAddress(opts.address),
    slots: opts.slots,
    ran: new Map(),
    ranFor: new Map(),
    runs,
    recordRun (run, peer) {
      const signature = `${opts.id}.${runs.length}`
      runs.push({ ...run, instance: opts.id, signature, ranAtMs: performance.now() })
      instance.ran.set(run.id, (instance.ran.get(run.id) ?? 0) + 1)
      instance.ranFor.set(run.id, peer)
      return signature
    },
    setFaults (next) {
      choose = next
    },
    chooseFault: (verb) => choose?.(verb),
    bornMs: () => bornMs,
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
      listeners.clear()
      for (const socket of sockets) socket.resetAndDestroy()
      await new Promise((resolve) => server.close(resolve))
    },
    async restart () {
      const primary = opts.group.primary()
      if (primary !== undefined && primary !== instance) instance.follow(primary)
      else for (const other of opts.group.instances.values()) if (other !== instance) other.follow(instance)
      await listen()
      running = true
      bornMs = Date.now()
    },
  }

  async function listen (): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      server.listen(opts.address.port, opts.address.host, () => {
        server.off('error', reject)
        resolve()
      })
    })
  }

  await listen()
  return instance
}
