import { type DatabaseView } from '@briarpick/types'

/** The database views that a proxy has received from control. */
export interface Directory {
  /** Applies changed views, and the control log index up to which they are complete. */
  update: (views: readonly DatabaseView[], index: number) => void
  view: (database: string) => DatabaseView | undefined
  views: () => Iterable<DatabaseView>
  /** Highest control log index applied. */
  appliedIndex: () => number
  /** Calls a listener with each changed view; returns a function that removes the listener. */
  onChange: (listener: (view: DatabaseView) => void) => () => void
}

/** Creates an empty directory. */
export function createDirectory (): Directory {
  const views = new Map<string, DatabaseView>()
  const listeners = new Set<(view: DatabaseView) => void>()
  let appliedIndex = 0
  return {
    update (changed, index) {
      appliedIndex = Math.max(appliedIndex, index)
      for (const view of changed) {
        const known = views.get(view.database)
        if (known !== undefined && known.changedAt >= view.changedAt) continue
        views.set(view.database, view)
        for (const listener of listeners) listener(view)
      }
    },
    view: (database) => views.get(database),
    views: () => views.values(),
    appliedIndex: () => appliedIndex,
    onChange (listener) {
      listeners.add(listener)
      return () => listeners.delete(listener)
    },
  }
}
