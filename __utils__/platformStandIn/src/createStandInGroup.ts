import { type Address } from '@briarpick/types'
import { createStandInInstance, type StandInInstance } from './createStandInInstance.js'

/** A log entry: a committed transaction. */
export interface StandInCommit {
  readonly term: number
  /** Position in the log, from 1. */
  readonly number: number
  /** Id of the statement or transaction that made it. */
  readonly id: string
  readonly writes: ReadonlyArray<readonly [item: string, data: string]>
}

/** A replicated database of stand-in instances, in memory. */
export interface StandInGroup {
  readonly service: string
  readonly instances: ReadonlyMap<string, StandInInstance>
  primary: () => StandInInstance | undefined
  term: () => number
  /** Service time of a statement, in ms. */
  readonly serviceTimeMs: number
  /** Sets the delay after which replicas apply commits that they receive from now on, in ms. Commits are applied in log order. */
  setReplicaApplyDelay: (applyMs: number) => void
  /**
   * Makes an instance the primary of the next term, with the commits that it has received, if it still runs after the duration of a
   * promotion; false if it is not running.
   */
  promote: (id: string) => Promise<boolean>
  /** Commits at an instance. Resolves once one replica has received the commit; rejects if the instance stops first. */
  commit: (instance: StandInInstance, commit: Pick<StandInCommit, 'id' | 'writes'>) => Promise<void>
  close: () => Promise<void>
}

/** Options of a group. */
export interface StandInGroupOptions {
  readonly service: string
  readonly addresses: readonly Address[]
  /** Delay until a replica receives a commit, in ms. */
  readonly receiveMs?: number
  /** Delay from then until the replica applies it, in ms. */
  readonly applyMs?: number
  /** Service time of a statement, in ms. */
  readonly serviceTimeMs?: number
  /** Duration of a promotion, in ms. */
  readonly promoteMs?: number
  /** Concurrency limit that each instance reports. */
  readonly slots?: number
}

const DEFAULT_SERVICE_TIME_MS = 2

/** Starts the instances of a group; the first one is the primary. */
export async function createStandInGroup (opts: StandInGroupOptions): Promise<StandInGroup> {
  const { receiveMs = 2, promoteMs = 150 } = opts
  let applyMs = opts.applyMs ?? 10
  const instances = new Map<string, StandInInstance>()
  let term = 1
  let primaryId = `${opts.service}-0`

  const group: StandInGroup = {
    service: opts.service,
    instances,
    primary: () => instances.get(primaryId),
    term: () => term,
    serviceTimeMs: opts.serviceTimeMs ?? DEFAULT_SERVICE_TIME_MS,
    setReplicaApplyDelay (next) {
      applyMs = next
    },
    async promote (id) {
      const newPrimary = instances.get(id)
      if (newPrimary === undefined || !newPrimary.isRunning()) return false
      if (id === primaryId) return true
      await new Promise((resolve) => setTimeout(resolve, promoteMs))
      // An instance that has ended meanwhile leads nothing, and the next one that is named leads the next term.
      if (!newPrimary.isRunning()) return true
      term += 1
      primaryId = id
      newPrimary.becomePrimary(term)
      for (const other of instances.values()) if (other !== newPrimary && other.heldTerm() < term) other.follow(newPrimary)
      return true
    },
    async commit (instance, { id, writes }) {
      if (!instance.isRunning()) throw new Error('instance stopped before the commit')
      const entry = instance.append({ id, writes })
      await new Promise<void>((resolve, reject) => {
        const replicas = [...instances.values()].filter((other) => other !== instance && other.isRunning())
        instance.onStop(() => reject(new Error('instance stopped before a replica received the commit')))
        for (const replica of replicas) {
          setTimeout(() => {
            if (instance.isRunning() && replica.receive(entry, instance, applyMs)) resolve()
          }, receiveMs)
        }
      })
    },
    async close () {
      await Promise.all([...instances.values()].map((instance) => instance.stop()))
    },
  }

  for (const [i, address] of opts.addresses.entries()) {
    const id = `${opts.service}-${i}`
    const instance = await createStandInInstance({ id, address, group, isPrimary: i === 0, slots: opts.slots ?? 4 })
    instances.set(id, instance)
  }
  return group
}
