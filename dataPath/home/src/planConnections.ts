/** A request that waits only for a connection of its team. */
export interface ConnectionNeed {
  readonly team: string | null
  /** Instances that can run it, the preferred one first. */
  readonly instances: readonly string[]
}

/** A connection to open. */
export interface ConnectionPlan {
  readonly team: string | null
  readonly instance: string
}

/**
 * Chooses the connections to open for requests of many teams that compete for few connections: one for each request, unless one that
 * is being opened for its team already will serve it. Opening takes time of the target, so no connection is opened twice.
 *
 * @param needs in the order in which the requests would start
 * @param opening number of connections that are being opened to an instance for a team
 */
export function planConnections (
  needs: readonly ConnectionNeed[],
  opening: (instance: string, team: string | null) => number
): readonly ConnectionPlan[] {
  const plans: ConnectionPlan[] = []
  const taken = new Map<string, number>()

  function takeOpening (instance: string, team: string | null): boolean {
    const key = JSON.stringify([instance, team])
    const count = taken.get(key) ?? 0
    if (count >= opening(instance, team)) return false
    taken.set(key, count + 1)
    return true
  }

  for (const { team, instances } of needs) {
    if (instances.some((instance) => takeOpening(instance, team))) continue
    plans.push({ team, instance: instances[0] })
  }
  return plans
}
