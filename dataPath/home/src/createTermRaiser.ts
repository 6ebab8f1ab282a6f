import { type DatabaseView } from '@briarpick/types'
import { chooseTermRaiser, type PromotionCandidate } from '@briarpick/failover'
import { type GroupTarget, isPromoted, type TargetGroup } from './createTargetGroup.js'

/**
 * Finds that the promoted instance leads in a term below the view's, and chooses the next one to promote. The view counts a term for
 * each heir that is named, the platform only for those that led.
 */
export interface TermRaiser {
  /**
   * The promoted instance, once it has led in a term below the view's for `BEHIND_MS`; to be called with each check while no instance
   * leads the view's term.
   */
  leader: () => GroupTarget | undefined
  /** The instance to promote next; undefined if none is safe to promote, or if the one that was named last may be on its way to lead. */
  choose: (leader: GroupTarget, others: readonly PromotionCandidate[]) => string | undefined
  /** True while the instance that was named last may be on its way to lead. */
  isPending: () => boolean
  /** Forgets what was named before; to be called once the view is open. */
  clear: () => void
}

/** Options of a term raiser. */
export interface TermRaiserOptions {
  readonly now: () => number
  readonly view: () => DatabaseView
  readonly group: () => TargetGroup
}

/** Time for which the term of the promoted instance is below the view's before it is raised, in ms: several statuses. */
const BEHIND_MS = 300
/** Time after which another instance is named, in ms: several times what a promotion takes. */
const RETRY_MS = 3000

/** Creates a term raiser that has named nobody. */
export function createTermRaiser ({ now, view, group }: TermRaiserOptions): TermRaiser {
  const named = new Set<string>()
  let namedLast: string | undefined
  let namedAt = -Infinity
  let behindSince: number | undefined

  function isPending (): boolean {
    return namedLast !== undefined && now() - namedAt < RETRY_MS
  }

  function findLeader (): GroupTarget | undefined {
    const names = [...named, view().heir]
    const leaders = names.flatMap((name) => typeof name === 'string' ? group().get(name) ?? [] : []).filter(isPromoted)
    return leaders.sort((a, b) => b.prober.observation().term - a.prober.observation().term)[0]
  }

  return {
    leader () {
      const leader = findLeader()
      behindSince = leader === undefined ? undefined : behindSince ?? now()
      return behindSince !== undefined && now() - behindSince >= BEHIND_MS ? leader : undefined
    },
    choose (leader, others) {
      if (isPending() && namedLast !== leader.member.instance) return undefined
      const heir = chooseTermRaiser(leader.prober.observation().received, others)
      if (heir === undefined) return undefined
      named.add(heir)
      namedLast = heir
      namedAt = now()
      return heir
    },
    isPending,
    clear () {
      named.clear()
      namedLast = undefined
      behindSince = undefined
    },
  }
}
