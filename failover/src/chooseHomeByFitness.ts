import { type DatabaseView } from '@briarpick/types'
import { type LiveProxy } from './databaseStep.js'
import { fitnessOf } from './decideHomeStep.js'

/**
 * Number of homes that the leader's VM counts as having besides its own: its loss takes the leader too, so its homes wait for an
 * election and a lease. A number of homes, not a factor: it must not make a VM with a fraction of the capacity the better choice.
 */
const LEADER_HOST_HOMES = 2

/** Returns the proxies, with capacity of the leader's host kept for the leader. */
export function reserveOnLeaderHost (leaderHost: string, proxies: readonly LiveProxy[]): readonly LiveProxy[] {
  return proxies.map((proxy) => proxy.linkAddress.host === leaderHost ? { ...proxy, reservedHomes: LEADER_HOST_HOMES } : proxy)
}

/** Fitness of a proxy's VM for each of its homes, once it has one more than `homes`. */
export function fitnessPerHome (proxy: LiveProxy, homes: number): number {
  return fitnessOf(proxy) / (1 + (proxy.reservedHomes ?? 0) + homes)
}

/** Fraction of the highest fitness per home from which a VM can stand in for the fittest one. */
export const COMPARABLE_FRACTION = 0.5

/**
 * Chooses the proxy with the highest fitness per home, counting the new home; prefers any other proxy to the previous home, and among
 * VMs of comparable fitness those that were not overloaded lately. An overload passes, while the size of a VM stays, so it makes no VM
 * with a fraction of the capacity the better choice. Ties go to a proxy in the data centre of a replica, since most statements are reads,
 * which replicas serve; then by name.
 */
export function chooseHomeByFitness (
  view: DatabaseView,
  proxies: readonly LiveProxy[],
  previous: string | undefined,
  homeCounts: ReadonlyMap<string, number> = new Map()
): LiveProxy | undefined {
  const staying = proxies.filter((proxy) => !proxy.leaving)
  const others = staying.filter((proxy) => proxy.proxy !== previous)
  const candidates = others.length > 0 ? others : staying
  const score = (proxy: LiveProxy) => fitnessPerHome(proxy, homeCounts.get(proxy.proxy) ?? 0)
  const highest = Math.max(...candidates.map(score))
  const unloaded = candidates.filter((proxy) => proxy.recentlyOverloaded !== true && score(proxy) >= COMPARABLE_FRACTION * highest)
  const replicaDataCentres = new Set(view.members.filter(({ instance }) => instance !== view.primary).map(({ dataCentre }) => dataCentre))
  const isNear = (proxy: LiveProxy) => Number(replicaDataCentres.has(proxy.dataCentre))
  return [...unloaded.length > 0 ? unloaded : candidates]
    .sort((a, b) => score(b) - score(a) || isNear(b) - isNear(a) || a.proxy.localeCompare(b.proxy))[0]
}
