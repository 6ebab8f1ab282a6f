import { type DatabaseView } from '@briarpick/types'
import { chooseTermRaiser, type PromotionCandidate } from '@briarpick/failover'
import { type GroupTarget, isPromoted, type TargetGroup } from './createTargetGroup.js'

/**
 * Finds that the promoted instance leads in a term below the view's, and chooses the next one to promote. The view counts a term for
 * each heir that is named, the platform only for those that led.
 */
export interface TermRaiser {
  /** The promoted instance, if it leads in a term below the view's; to be called while no instance leads the view's term. */
  leader: () => GroupTarget | undefined
  /**
   * The instance to promote next; undefined if none is safe to promote, or if `pendingHeir`, the one that was named last, may still be
   * on its way to lead.
   */
  choose: (
    leader: GroupTarget, others: readonly PromotionCandidate[], opts: { readonly pendingHeir: string | undefined }
  ) => string | undefined
  /** Forgets what was named before; to be called once the view is open. */
  clear: () => void
}

/** Options of a term raiser. */
export interface TermRaiserOptions {
  readonly now: () => number
  readonly view: () => DatabaseView
  readonly group: () => TargetGroup
}

/** Time after which another instance is named, in ms: several times what a promotion takes. */
const RETRY_MS = 3000

/** Creates a term raiser that has named nobody. */
export function createTermRaiser ({ now, view, group }: TermRaiserOptions): TermRaiser {
  const named = new Set<string>()
  let namedAt = -Infinity

  return {
    leader () {
      const names = [...named, view().heir]
      const leaders = names.flatMap((name) => typeof name === 'string' ? group().get(name) ?? [] : []).filter(isPromoted)
      return leaders.sort((a, b) => b.prober.observation().term - a.prober.observation().term)[0]
    },
    choose (leader, others, { pendingHeir }) {
      const isPending = pendingHeir !== undefined && pendingHeir !== leader.member.instance && now() - namedAt < RETRY_MS
      const heir = isPending ? undefined : chooseTermRaiser(leader.prober.observation().received, others)
      if (heir === undefined) return undefined
      named.add(heir)
      namedAt = now()
      return heir
    },
    clear () {
      named.clear()
    },
  }
}
