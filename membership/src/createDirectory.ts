import { type DatabaseView } from '@briarpick/types'

/** The views that a proxy learned from control. */
export interface Directory {
  /** Takes over changed views and the index that they are valid for. */
  update: (views: readonly DatabaseView[], index: number) => void
  view: (database: string) => DatabaseView | undefined
  views: () => Iterable<DatabaseView>
  /** Highest index of the control log that was taken over. */
  seen: () => number
  /** Calls a listener with each changed view; returns the way to stop. */
  onChange: (listener: (view: DatabaseView) => void) => () => void
}

/** Creates an empty directory. */
export function createDirectory (): Directory {
  const views = new Map<string, DatabaseView>()
  const listeners = new Set<(view: DatabaseView) => void>()
  let seen = 0
  return {
    update (changed, index) {
      seen = Math.max(seen, index)
      for (const view of changed) {
        const known = views.get(view.database)
        if (known !== undefined && known.changedAt >= view.changedAt) continue
        views.set(view.database, view)
        for (const listener of listeners) listener(view)
      }
    },
    view: (database) => views.get(database),
    views: () => views.values(),
    seen: () => seen,
    onChange (listener) {
      listeners.add(listener)
      return () => listeners.delete(listener)
    },
  }
}
