/** A waiting request that could run if a target had an idle connection of its team. */
export interface ConnectionNeed {
  readonly team: string | null
  /** True if only the primary can run it. */
  readonly needsPrimary: boolean
}

/**
 * Selects the requests for which a connection is to be opened, when many teams compete for few connections: those that no connection
 * being opened for their team will serve. Opening takes time of the target, so none is opened twice for a request.
 *
 * @param needs in the order in which the requests would start
 * @param opening number of connections that are being opened for the team of a request, to targets that can run it
 */
export function selectUnserved<T extends ConnectionNeed> (needs: readonly T[], opening: (need: ConnectionNeed) => number): readonly T[] {
  const served = new Map<string, number>()
  return needs.filter((need) => {
    const key = JSON.stringify([need.team, need.needsPrimary])
    const count = served.get(key) ?? 0
    if (count >= opening(need)) return true
    served.set(key, count + 1)
    return false
  })
}
