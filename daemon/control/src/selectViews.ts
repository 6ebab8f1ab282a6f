import { type DatabaseView, type RenewRequest } from '@briarpick/types'

/** Views sent in response to one renewal. */
export interface ViewSelection {
  readonly views: readonly DatabaseView[]
  /** Log index up to which the proxy knows all changes once it has applied these views. */
  readonly index: number
  /** True if there are more views; the proxy then renews again at once. */
  readonly more: boolean
}

/** Options of a view selection. */
export interface SelectViewsOptions {
  readonly views: () => readonly DatabaseView[]
  /** Index of the last entry applied. */
  readonly appliedIndex: number
  /** Maximum number of views that don't concern the proxy's own homes. */
  readonly maxViews: number
}

/**
 * Selects changed views that a proxy lacks: all that concern its own homes, since its lease covers them, and the least recently
 * changed of the others.
 */
export function selectViews (request: Pick<RenewRequest, 'proxy' | 'seen' | 'homes'>, opts: SelectViewsOptions): ViewSelection {
  if (request.seen >= opts.appliedIndex) return { views: [], index: opts.appliedIndex, more: false }
  const changed = opts.views().filter(({ changedAt }) => changedAt > request.seen)
  const reportedHomes = new Set(request.homes.map(({ database }) => database))
  const isOwn = (view: DatabaseView) => view.home?.proxy === request.proxy || reportedHomes.has(view.database)
  const own = changed.filter(isOwn)
  const others = changed.filter((view) => !isOwn(view)).sort((a, b) => a.changedAt - b.changedAt)
  const chosen = others.slice(0, opts.maxViews)
  const more = chosen.length < others.length
  return { views: [...own, ...chosen], index: more ? chosen[chosen.length - 1].changedAt : opts.appliedIndex, more }
}
