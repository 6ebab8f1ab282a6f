/** Operations that wait for a token, by team. */
export interface TokenWaits {
  /** Resolves after `ms`, or as soon as the team is woken. */
  wait: (team: string, ms: number) => Promise<void>
  /** Ends the waits of a team, in the order in which they began. */
  wake: (team: string) => void
  wakeAll: () => void
  isWaiting: (team: string) => boolean
  /** Number of operations of the team that wait. */
  count: (team: string) => number
}

/** Creates an empty set of waits. */
export function createTokenWaits (): TokenWaits {
  const waitsByTeam = new Map<string, Set<() => void>>()

  function wake (team: string): void {
    for (const end of [...waitsByTeam.get(team) ?? []]) end()
  }

  return {
    async wait (team, ms) {
      await new Promise<void>((resolve) => {
        const waits = waitsByTeam.get(team) ?? new Set()
        const timer = setTimeout(end, ms)
        function end (): void {
          clearTimeout(timer)
          waits.delete(end)
          if (waits.size === 0) waitsByTeam.delete(team)
          resolve()
        }
        waitsByTeam.set(team, waits.add(end))
      })
    },
    wake,
    wakeAll () {
      for (const team of [...waitsByTeam.keys()]) wake(team)
    },
    isWaiting: (team) => waitsByTeam.has(team),
    count: (team) => waitsByTeam.get(team)?.size ?? 0,
  }
}
