import { type DatabaseView, type RenewRequest } from '@briarpick/types'

/** Views for one renewal. */
export interface ViewSelection {
  readonly views: readonly DatabaseView[]
  /** Index up to which the proxy knows all views once it has these. */
  readonly index: number
  /** True if there are more; the proxy then renews again at once. */
  readonly more: boolean
}

/** Options of a selection. */
export interface SelectViewsOptions {
  readonly views: () => readonly DatabaseView[]
  /** Index of the last entry applied. */
  readonly appliedIndex: number
  readonly maxViews: number
}

/** Chooses views that a proxy lacks: all that concern its own homes, since its lease covers them, and the oldest of the others. */
export function selectViews (request: Pick<RenewRequest, 'proxy' | 'seen' | 'homes'>, opts: SelectViewsOptions): ViewSelection {
  if (request.seen >= opts.appliedIndex) return { views: [], index: opts.appliedIndex, more: false }
  const changed = opts.views().filter(({ changedAt }) => changedAt > request.seen)
  const held = new Set(request.homes.map(({ database }) => database))
  const isOwn = (view: DatabaseView) => view.home?.proxy === request.proxy || held.has(view.database)
  const own = changed.filter(isOwn)
  const others = changed.filter((view) => !isOwn(view)).sort((a, b) => a.changedAt - b.changedAt)
  const chosen = others.slice(0, opts.maxViews)
  const more = chosen.length < others.length
  return { views: [...own, ...chosen], index: more ? chosen[chosen.length - 1].changedAt : opts.appliedIndex, more }
}
